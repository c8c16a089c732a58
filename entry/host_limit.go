package entry

import (
	"context"
	"sync"
)

// hostLimit bounds the requests in flight to one server, and so the connections to it.
// Requests beyond the limit wait in order. The limit can change at any time.
type hostLimit struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting []chan struct{} // closed when the request may start
}

// acquire waits until a request may start. It reports whether it had to wait.
func (h *hostLimit) acquire(ctx context.Context) (waited bool, err error) {
	h.mu.Lock()
	if h.used < h.limit && len(h.waiting) == 0 {
		h.used++
		h.mu.Unlock()
		return false, nil
	}
	turn := make(chan struct{})
	h.waiting = append(h.waiting, turn)
	h.mu.Unlock()
	select {
	case <-turn:
		return true, nil
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, w := range h.waiting {
		if w == turn {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			return true, ctx.Err()
		}
	}
	h.used-- // its turn came at the same time
	h.startWaiting()
	return true, ctx.Err()
}

// release ends a request.
func (h *hostLimit) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used--
	h.startWaiting()
}

// setLimit changes the limit.
func (h *hostLimit) setLimit(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = limit
	h.startWaiting()
}

// startWaiting starts as many waiting requests as the limit allows. The caller holds h.mu.
func (h *hostLimit) startWaiting() {
	for h.used < h.limit && len(h.waiting) > 0 {
		close(h.waiting[0])
		h.waiting = h.waiting[1:]
		h.used++
	}
}
