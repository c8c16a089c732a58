package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
)

// RequestHead holds the parsed headers of a request.
type RequestHead struct {
	ID             string
	Timeout        time.Duration // how long the caller waits; 0 if it sets no limit
	Model          string        // name of the base model
	Adapter        string
	PromptTokens   int
	MaxTokens      int      // limit on output tokens
	ExpectedTokens int      // output tokens that the caller expects; 0 if unknown
	LastEventID    string   // ID of the last event that the caller has; set to resume a stream
	Resumes        string   // ID of the attempt that brought the first event of the stream that is resumed
	PromptParts    []string // IDs of the parts of the prompt that other prompts may have too
	HasTokenCounts bool     // the request states PromptTokens and MaxTokens
	Key            string   // of the client account; empty if the request has none that is valid
	Caller         string   // credential of the caller; empty if it sent none
}

// AdapterName returns the engine's name for the adapter.
func (h RequestHead) AdapterName() string { return engine.JoinAdapterName(h.Model, h.Adapter) }

// OutputTokens returns the expected length of the output.
func (h RequestHead) OutputTokens() int {
	if h.ExpectedTokens > 0 {
		return min(h.ExpectedTokens, h.MaxTokens)
	}
	return h.MaxTokens
}

// ServerRequest is one attempt to forward a request to a server.
type ServerRequest struct {
	Incoming      *http.Request
	Server        *backend.Server
	Body          io.Reader
	ContentLength int           // of Body
	TimeLeft      time.Duration // until the request's deadline
	IsEngine      bool          // the server runs a model engine
	Priority      int           // 0 is the highest
	// HasAccounts is set if the configuration has client accounts. The server then gets the name of
	// the request's account, which may be empty, and never the key.
	HasAccounts    bool
	Account        string
	AdapterVersion int64  // adapter version that the server must have; 0 means any
	LastEventID    string // ID of the event after which the stream is resumed
	// OwnConnection is set if the request must get a connection that carries no other: an earlier
	// attempt was sent to the same address. All attempts have one ID, so on a connection that
	// carried the earlier one, a second copy of its response could not be told from the
	// response to this one.
	OwnConnection bool
}

// ResponseHead holds the parsed headers of a server's response.
type ResponseHead struct {
	Status      int
	RequestID   string // ID of the request that it responds to
	Header      http.Header
	Signed      bool // the response carries the server's signature
	NotRun      bool // the server states that it did not run the request
	Misdirected bool // wrong server, or a server without the adapter or its version
	Stream      bool // the body is an event stream
	// EndsWithConnection is set if only the end of the connection ends the body, so that a
	// closed connection does not show whether it is complete.
	EndsWithConnection bool
	Asks               backend.Asks // what the server asks for
}

// promisesNotRun reports whether callers take the status as a promise that the request has not
// run.
func (h ResponseHead) promisesNotRun() bool {
	switch h.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
