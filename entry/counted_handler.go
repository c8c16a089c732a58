package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/memory"
)

// countedHandler counts the bodies of requests in a budget, for the listeners of nodes and operators.
type countedHandler struct {
	http.Handler
	budget   *memory.Budget
	maxBytes int64         // of a body
	maxTime  time.Duration // in which a body must end
}

// ServeHTTP implements http.Handler.
func (h *countedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > h.maxBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	holding := h.budget.Hold(memory.OfPeer)
	defer holding.Release()
	if r.ContentLength != 0 { // otherwise net/http reads already what follows the request
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.maxTime)) // fails in tests without a connection
	}
	r.Body = &countedBody{ReadCloser: http.MaxBytesReader(w, r.Body, h.maxBytes), holding: holding}
	h.Handler.ServeHTTP(w, r)
}

// countedBody fails once its holding does not grow.
type countedBody struct {
	io.ReadCloser
	holding *memory.Holding
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.holding.Grow(int64(n)) {
		return 0, &memory.Error{Op: "read", Kind: memory.OverBudget}
	}
	return n, err
}
