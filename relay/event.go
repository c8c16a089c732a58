package relay

import "time"

// Event describes a finished request, or a failed attempt that will be
// followed by another. It is the input of the request log and the metrics.
type Event struct {
	Final       bool // the request has ended; otherwise another attempt follows
	ID          string
	Route       string
	Pool        string
	Adapter     string
	Account     string   // client account; empty if there is none
	Server      string   // the server of the last attempt
	Build       string   // of that server
	RelayedBy   string   // the node that the request came from; empty if it came from a caller
	RelayedTo   string   // address of the node that the request was relayed to last
	Resumes     string   // of the request; see [RequestHead]
	LastEventID string   // after which the request resumes a stream
	PromptParts []string // of the request; see [RequestHead]
	Fingerprint string   // of a request that a server failed; the same for all attempts of its caller
	Kind        ErrorKind
	Reason      string
	Status      int // sent to the caller; received from the server if not Final
	Attempts    int
	// ServerStatus is the status of the last attempt's response, 0 if there was none, and
	// ServerNotRun is set if the response states that the request has not run.
	ServerStatus    int
	ServerNotRun    bool
	Connection      Connection // of the last attempt
	EventsSent      int        // stream events forwarded to the caller
	ConfigVersion   int64
	ConfigAge       time.Duration // time since when changes of the configuration may have been missed
	Elapsed         time.Duration // since the request was received
	TimeToGrant     time.Duration // from receipt of the request to its first grant for an engine
	TimeToFirstByte time.Duration // from receipt of the request to the first byte of the response
	MaxEventGap     time.Duration // the longest time between two stream events
	TimeLeft        time.Duration // until the deadline
	RetryAfter      time.Duration // sent to the caller
}
