// Package logs keeps the writing of logs away from the serving of requests.
//
// # Usage
//
//	ring := logs.NewAsyncWriter(os.Stdout, 4096)
//	defer ring.Close()
//	l := log.NewWithOptions(ring, log.Options{})
//
// # Not covered
//
// Lines are not kept when the process ends without Close.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is a bounded queue of log lines before a slower writer. A line that
// finds it full is dropped and counted; writing never blocks.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	told    int64 // dropped lines that were reported in the log
	done    chan struct{}
	mu      sync.RWMutex // guards closed against concurrent writes
	closed  bool
}

// NewAsyncWriter returns a ring of the given number of lines before w.
func NewAsyncWriter(w io.Writer, size int) *AsyncWriter {
	r := &AsyncWriter{w: w, lines: make(chan []byte, size), done: make(chan struct{})}
	go r.run()
	return r
}

// Write implements io.Writer for one whole line.
func (r *AsyncWriter) Write(p []byte) (int, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	select {
	case r.lines <- append([]byte(nil), p...):
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that found the ring full.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }

func (r *AsyncWriter) run() {
	defer close(r.done)
	for line := range r.lines {
		if _, err := r.w.Write(line); err != nil {
			r.dropped.Add(1)
		}
		if n := r.dropped.Load(); n > r.told && len(r.lines) == 0 {
			_, _ = fmt.Fprintf(r.w, `{"level":"warn","msg":"log lines dropped","total":%d}`+"\n", n) // there is no other place to say so
			r.told = n
		}
	}
}

// Close writes what is queued and waits for it.
func (r *AsyncWriter) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.done
}
