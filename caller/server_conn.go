package caller

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// headTimedOut refuses a request whose head did not end in time.
const headTimedOut = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" + HeaderOutcome + ": " + string(NotRun) + "\r\n\r\n"

// serverConn is a connection of a [Server]. While it waits for the head of a request, it
// ends its reads sooner than net/http asks if the server is stopping.
type serverConn struct {
	net.Conn
	server *Server

	mu        sync.Mutex
	isWaiting bool      // no head of a request has been read completely
	hasBegun  bool      // a part of the head has been read
	asked     time.Time // read deadline that net/http has set
	closeAt   time.Time // end of the wait for a first byte; zero means no end
	endAt     time.Time // end of the wait for the rest of a head
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.observeRead(n) && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(endMargin))
		_, _ = io.WriteString(c.Conn, headTimedOut) // net/http closes the connection without a response
	}
	return n, err
}

// observeRead reports whether a part of a head, but not all of it, has been read.
func (c *serverConn) observeRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWaiting && n > 0 && !c.hasBegun {
		c.hasBegun = true
		_ = c.applyDeadline() // the next read fails if this does
	}
	return c.isWaiting && c.hasBegun
}

// SetReadDeadline implements net.Conn.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	return c.applyDeadline()
}

// CloseWrite is for net/http.
func (c *serverConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// applyDeadline sets the earliest deadline that holds. c.mu must be held.
func (c *serverConn) applyDeadline() error {
	d, limit := c.asked, c.closeAt
	if c.hasBegun {
		limit = c.endAt
	}
	if c.isWaiting && !limit.IsZero() && (d.IsZero() || limit.Before(d)) {
		d = limit
	}
	return c.Conn.SetReadDeadline(d)
}

func (c *serverConn) observeState(state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWaiting, c.hasBegun = state == http.StateIdle, false
	if c.isWaiting && c.server.stopping.Load() {
		c.closeAt = time.Now().Add(lastLook)
	}
	_ = c.applyDeadline() // the next read fails if this does
}

// closeUnused closes the connection at a time if no request has begun to arrive by then.
func (c *serverConn) closeUnused(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAt = at
	_ = c.applyDeadline() // fails only if the connection is closed
}

// endHead ends the wait for a head.
func (c *serverConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAt, c.endAt = time.Now(), time.Now()
	_ = c.applyDeadline() // fails only if the connection is closed
}
