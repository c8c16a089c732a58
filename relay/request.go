package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
)

// RequestHead is what the headers of a request say of it.
type RequestHead struct {
	ID             string
	Timeout        time.Duration // how long the caller waits; 0 means that it does not say
	Model          string        // base model
	Adapter        string
	PromptTokens   int
	MaxTokens      int    // of the output
	ExpectedTokens int    // of the output, the caller's estimate; 0 means none
	LastEventID    string // the last event that the caller has, when it resumes a stream
}

// AdapterName returns the name under which engines are asked for the adapter.
func (h RequestHead) AdapterName() string { return engine.JoinAdapterName(h.Model, h.Adapter) }

// OutputTokens returns the expected length of the output.
func (h RequestHead) OutputTokens() int {
	if h.ExpectedTokens > 0 {
		return min(h.ExpectedTokens, h.MaxTokens)
	}
	return h.MaxTokens
}

// ServerRequest is one attempt to pass a request on to a server.
type ServerRequest struct {
	Incoming       *http.Request
	Server         *backend.Server
	Body           io.Reader
	ContentLength  int           // of the body, in bytes
	TimeLeft       time.Duration // until the request's deadline
	IsEngine       bool          // the server is a model engine
	Priority       int           // 0 is the most urgent
	AdapterVersion int64         // of the adapter that the server must have; 0 means any
	LastEventID    string        // resume after this event
}

// ResponseHead is what the headers of a server's answer say.
type ResponseHead struct {
	Status      int
	RequestID   string // of the request that it answers
	Header      http.Header
	Signed      bool // it bears the server's signature
	NotRun      bool // the server states that it did not run the request
	Misdirected bool // the server is not the one that was meant, or lacks the adapter or its version
	Stream      bool // the body is a stream of events
}
