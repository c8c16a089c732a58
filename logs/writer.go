// Package logs writes logs in the background, so that slow log output does not delay
// the serving of requests.
//
// # Usage
//
//	w := logs.NewAsyncWriter(os.Stdout, 4096)
//	defer w.Close()
//	l := log.NewWithOptions(w, log.Options{})
//	stdlog.SetOutput(logs.NewStandardWriter(func(msg string) { l.Warn(msg) }))
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
	out      io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	reported int64 // number of dropped lines last reported in the log
	done     chan struct{}
	mu       sync.RWMutex // guards closed against concurrent writes
	closed   bool
}

// NewAsyncWriter returns a writer that queues up to size lines for w.
func NewAsyncWriter(w io.Writer, size int) *AsyncWriter {
	a := &AsyncWriter{out: w, lines: make(chan []byte, size), done: make(chan struct{})}
	go a.writeLines()
	return a
}

// Write implements io.Writer. Each call must write one complete line.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return 0, io.ErrClosedPipe
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the queue was full
// or the write failed.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) writeLines() {
	defer close(a.done)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			a.dropped.Add(1)
		}
		if n := a.dropped.Load(); n > a.reported && len(a.lines) == 0 {
			_, _ = fmt.Fprintf(a.out, `{"level":"warn","msg":"log lines dropped","total":%d}`+"\n", n) // out is the only output, so a failure cannot be reported
			a.reported = n
		}
	}
}

// Close writes the queued lines and waits until they are written.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
