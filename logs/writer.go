// Package logs writes logs in the background, so that slow log output does not delay
// the serving of requests.
//
// # Usage
//
//	w := logs.NewAsyncWriter(os.Stdout, 4096)
//	defer w.Close()
//	l := log.NewWithOptions(w, log.Options{})
//
// # Not covered
//
// Queued lines are lost when the process ends without Close.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter queues log lines for a slower writer. Write never blocks: if the queue
// is full, the line is dropped and counted.
type AsyncWriter struct {
	w        io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	reported int64 // number of dropped lines last reported in the log
	done     chan struct{}
	mu       sync.RWMutex // guards closed against concurrent writes
	closed   bool
}

// NewAsyncWriter returns a writer that queues up to size lines for w.
func NewAsyncWriter(w io.Writer, size int) *AsyncWriter {
	r := &AsyncWriter{w: w, lines: make(chan []byte, size), done: make(chan struct{})}
	go r.writeLines()
	return r
}

// Write implements io.Writer. Each call must write one complete line.
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

// Dropped returns the number of lines that were dropped because the queue was full
// or the write failed.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }

func (r *AsyncWriter) writeLines() {
	defer close(r.done)
	for line := range r.lines {
		if _, err := r.w.Write(line); err != nil {
			r.dropped.Add(1)
		}
		if n := r.dropped.Load(); n > r.reported && len(r.lines) == 0 {
			_, _ = fmt.Fprintf(r.w, `{"level":"warn","msg":"log lines dropped","total":%d}`+"\n", n) // w is the only output, so a failure cannot be reported
			r.reported = n
		}
	}
}

// Close writes the queued lines and waits until they are written.
func (r *AsyncWriter) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.done
}
