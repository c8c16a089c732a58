package caller

import "sync"

// Inflight counts work that a shutdown must wait for. Unlike sync.WaitGroup it
// may be entered while another goroutine waits. The zero value is ready to use.
type Inflight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when the last work leaves after Close
}

// TryAdd counts one more piece of work. It reports false after Close.
func (i *Inflight) TryAdd() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.n++
	return true
}

// join counts work that belongs to other work in flight, also after Close.
func (i *Inflight) join() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n++
}

// Done ends one piece of work.
func (i *Inflight) Done() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n--
	if i.n == 0 && i.idle != nil {
		close(i.idle)
		i.idle = nil
	}
}

// Go runs f in a goroutine of its own, unless Close was called before.
func (i *Inflight) Go(f func()) {
	if !i.TryAdd() {
		return
	}
	go func() {
		defer i.Done()
		f()
	}()
}

// Close lets nothing more in. The channel that it returns is closed when
// nothing is in flight.
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
