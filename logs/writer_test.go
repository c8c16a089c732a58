package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks in Write until release is closed.
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

// A blocked output must neither block Write nor let the queue grow beyond its size.
func TestAsyncWriterDropsWhenFull(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w, 8)
	start := time.Now()
	for range 10_000 {
		_, err := a.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(a.Dropped() >= 10_000-9)
	close(w.release)
	a.Close()
	is.True(strings.Count(w.buf.String(), "line\n") <= 9)
	is.True(strings.Contains(w.buf.String(), `"msg":"log lines dropped"`))
	_, err := a.Write([]byte("late\n"))
	is.True(err != nil)
	a.Close()
}
