package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter writes nothing until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// A flood before a writer that stands still neither blocks nor grows.
func TestRingDropsAndCounts(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	r := NewAsyncWriter(w, 8)
	start := time.Now()
	for range 10_000 {
		_, err := r.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(r.Dropped() >= 10_000-9)
	close(w.release)
	r.Close()
	is.True(strings.Count(w.buf.String(), "line\n") <= 9)
	is.True(strings.Contains(w.buf.String(), `"msg":"log lines dropped"`))
	_, err := r.Write([]byte("late\n"))
	is.True(err != nil)
	r.Close()
}
