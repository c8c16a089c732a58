package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
)

// Head is what the headers of a request say of it.
type Head struct {
	ID             string
	Patience       time.Duration // how long the caller waits; 0 means that it does not say
	Model          string        // base model
	Adapter        string
	PromptTokens   int
	MaxTokens      int    // of the output
	ExpectedTokens int    // of the output, the caller's estimate; 0 means none
	After          string // the last event that the caller has, when it resumes a stream
}

// AdapterName returns the name under which engines are asked for the adapter.
func (h Head) AdapterName() string { return engine.JoinAdapterName(h.Model, h.Adapter) }

// OutputTokens returns the expected length of the output.
func (h Head) OutputTokens() int {
	if h.ExpectedTokens > 0 {
		return min(h.ExpectedTokens, h.MaxTokens)
	}
	return h.MaxTokens
}

// Sending is one attempt to pass a request on to a server.
type Sending struct {
	Incoming *http.Request
	Server   *backend.Server
	Body     io.Reader
	Size     int           // of the body, in bytes
	Left     time.Duration // until the request's deadline
	Engine   bool          // the server is a model engine
	Priority int           // 0 is the most urgent
	Version  int64         // of the adapter that the server must have; 0 means any
	After    string        // resume after this event
}

// Answer is what the headers of a server's answer say.
type Answer struct {
	Status    int
	ID        string // of the request that it answers
	Header    http.Header
	Sealed    bool // it bears the server's signature
	NotRun    bool // the server states that it did not run the request
	Misplaced bool // the server is not the one that was meant, or lacks the adapter or its version
	Stream    bool // the body is a stream of events
}
