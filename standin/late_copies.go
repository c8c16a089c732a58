package standin

import (
	"net"
	"sync"
)

// maxCopiedBytes bounds the responses that [LateCopies] sends again.
const maxCopiedBytes = 64 << 10

// LateCopies is a listener whose servers send some responses a second time: late, where the
// response to the next request on the connection is due.
type LateCopies struct {
	net.Listener
	// IsCopied reports whether a response is sent again.
	IsCopied func(response []byte) bool
}

// Accept implements net.Listener.
func (l *LateCopies) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: c, isCopied: l.IsCopied}, nil
}

// copyingConn is the server's end of a connection.
type copyingConn struct {
	net.Conn
	isCopied func(response []byte) bool

	mu      sync.Mutex
	last    []byte // what was written since the last read, unless it is too long
	tooLong bool
}

// Write implements net.Conn.
func (c *copyingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.tooLong = c.tooLong || len(c.last)+len(p) > maxCopiedBytes
	if !c.tooLong {
		c.last = append(c.last, p...)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn. What is read after a response is the next request, as clients send one
// at a time.
func (c *copyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	last, tooLong := c.last, c.tooLong
	c.last, c.tooLong = nil, false
	c.mu.Unlock()
	if len(last) > 0 && !tooLong && c.isCopied(last) {
		if _, err := c.Conn.Write(last); err != nil {
			return n, err
		}
	}
	return n, err
}
