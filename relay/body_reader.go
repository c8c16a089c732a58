package relay

import (
	"context"
	"io"
	"time"
)

// bodyReader reads the body of a request, and fails if nothing of it arrives within a time.
type bodyReader struct {
	r        io.Reader
	end      time.Time       // deadline of the request
	ending   context.Context // ends when requests must end; the deadline is then set by others
	progress time.Duration   // zero means no limit
	// setDeadline sets the deadline of reads. It is not called without a limit.
	setDeadline func(t time.Time) error
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.progress > 0 {
		t := time.Now().Add(b.progress)
		if t.After(b.end) {
			t = b.end
		}
		if err := b.setDeadline(t); err != nil {
			return 0, err
		}
		if b.ending.Err() != nil {
			return 0, b.ending.Err() // this deadline may have replaced the one that ends reads
		}
	}
	return b.r.Read(p)
}
