package relay

import "time"

// Event is the end of a request, or one attempt of it that failed. It holds
// what decided the outcome, for the log and the metrics.
type Event struct {
	Final           bool // the request has ended; otherwise it goes on with another attempt
	ID              string
	Route           string
	Pool            string
	Adapter         string
	Server          string // the last server that it was sent to
	Kind            ErrorKind
	Reason          string
	Status          int // towards the caller; of the server when not final
	Attempts        int
	EventsSent      int // of the stream that were passed on
	ConfigVersion   int64
	Elapsed         time.Duration // since the request was read
	TimeToGrant     time.Duration // from reading to the first grant of an engine
	TimeToFirstByte time.Duration // from reading to the first byte of the answer
	MaxEventGap     time.Duration // the longest pause between two events of the stream
	TimeLeft        time.Duration // until the deadline
	RetryAfter      time.Duration // that the caller was told to wait
}
