package caller

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Inflight counts work that a shutdown must wait for. Unlike with
// sync.WaitGroup, work may be added while another goroutine waits. The zero
// value is ready to use.
type Inflight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when the last work is done after Close
	ending context.Context
	end    context.CancelFunc
}

// TryAdd adds one piece of work. It returns false after Close.
func (i *Inflight) TryAdd() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.n++
	return true
}

// add adds work that is part of other work in flight, even after Close.
func (i *Inflight) add() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n++
}

// Done marks one piece of work as done.
func (i *Inflight) Done() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n--
	if i.n == 0 && i.idle != nil {
		close(i.idle)
		i.idle = nil
	}
}

// Go runs f in its own goroutine, unless Close was called before.
func (i *Inflight) Go(f func()) {
	if !i.TryAdd() {
		return
	}
	go func() {
		defer i.Done()
		f()
	}()
}

// Close rejects new work. The returned channel is closed when no work is in
// flight.
func (i *Inflight) Close() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	done := i.idle
	if done == nil {
		done = make(chan struct{})
		if i.n == 0 {
			close(done)
			return done
		}
		i.idle = done
	}
	return done
}

// Ending returns a context that ends with [Inflight.End].
func (i *Inflight) Ending() context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ending == nil {
		i.ending, i.end = context.WithCancel(context.Background())
	}
	return i.ending
}

// End rejects new work, and tells the work in flight to end.
func (i *Inflight) End() {
	i.Close()
	i.Ending()
	i.end()
}

// EndReads makes reads of a request's body fail from [Inflight.End] on. The returned function
// ends that, and returns false if it has happened.
func (i *Inflight) EndReads(w http.ResponseWriter) (stop func() bool) {
	return context.AfterFunc(i.Ending(), func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}
