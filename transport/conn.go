package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// writeWait is how long the end of a connection waits for a write in flight. The write of a connection that was reset
// ends at once.
const writeWait = 100 * time.Millisecond

// Conn is a connection whose end is an error if a write on it has failed. A socket reports once that it was reset: the
// write that learns of it leaves an ordinary end of file to the read, and a body that ends with its connection then
// looks complete.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	writing chan struct{} // closed when the write in flight ends; nil without one
	err     error         // of the first write that failed
}

// NewConn returns a connection on top of another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialChecked returns a function that opens connections as another one does, and with that of [net.Dialer] if it
// is nil, on which a reset is always seen; see [Conn].
func DialChecked(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	if c.writing == done {
		c.writing = nil
	}
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	close(done)
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if werr := c.writeError(); werr != nil {
		return n, &Error{Op: "read", Kind: Broken, Err: werr}
	}
	return n, io.EOF
}

// writeError returns the error of a write, after the one in flight has ended.
func (c *Conn) writeError() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		t := time.NewTimer(writeWait)
		defer t.Stop()
		select {
		case <-writing:
		case <-t.C: // the end is an orderly one, and the other end does not read on
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
