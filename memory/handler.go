package memory

import (
	"io"
	"net/http"
)

// Handler counts the bodies of requests in a budget, for the listeners of nodes and operators.
type Handler struct {
	http.Handler
	Budget   *Budget
	MaxBytes int64 // of a body
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > h.MaxBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	holding := h.Budget.Hold(OfPeer)
	defer holding.Release()
	r.Body = &countedBody{ReadCloser: http.MaxBytesReader(w, r.Body, h.MaxBytes), holding: holding}
	h.Handler.ServeHTTP(w, r)
}

// countedBody fails once its holding does not grow.
type countedBody struct {
	io.ReadCloser
	holding *Holding
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.holding.Grow(int64(n)) {
		return 0, &Error{Op: "read", Kind: OverBudget}
	}
	return n, err
}
