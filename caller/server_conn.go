package caller

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/listen"
	"github.com/vanilladrift/vanilladrift/memory"
)

// serverConn is a connection of a [Server]. While it waits for the head of a request, it
// ends its reads sooner than net/http asks if the server is stopping.
type serverConn struct {
	net.Conn
	server    *Server
	isRefused atomic.Bool // the head that was read last

	mu        sync.Mutex
	isWaiting bool      // no head of a request has been read completely
	hasBegun  bool      // a part of the head has been read
	headBytes int       // of that part, and what was read beyond the head
	since     time.Time // start of the wait for a first byte, or for the rest of a head
	hasLooked bool      // the wait was over, and was extended
	asked     time.Time // read deadline that net/http has set
	closeAt   time.Time // end of the wait for a first byte; zero means no end
	endAt     time.Time // end of the wait for the rest of a head
	limits    HeadLimits
	head      *memory.Holding // what the head holds; nil until it has begun
}

// Read implements net.Conn. It fails for good once a head is refused: net/http may read again after an
// error.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.lookAgain() {
		n, err = c.Conn.Read(p)
	}
	isHead, refusal := c.observeRead(n)
	if refusal != "" {
		c.isRefused.Store(true)
		listen.Refuse(c.Conn, refusal)
		return 0, io.EOF // net/http closes the connection without a response
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.observeTimeout()
		if isHead {
			c.isRefused.Store(true)
			_ = c.Conn.SetWriteDeadline(time.Now().Add(endMargin))
			_, _ = io.WriteString(c.Conn, headTimedOut) // as above
		}
	}
	return n, err
}

// observeRead reports whether a part of a head, but not all of it, has been read, and returns the
// refusal of a head that is outside the limits.
func (c *serverConn) observeRead(n int) (isHead bool, refusal string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWaiting && n > 0 {
		if !c.hasBegun {
			c.hasBegun, c.hasLooked, c.since = true, false, time.Now()
			c.limits = c.server.headLimits()
			c.head = c.limits.Memory.Hold(memory.OfCaller)
			_ = c.applyDeadline() // the next read fails if this does
		}
		c.headBytes += n
		text, reason := c.limits.refusal(c.headBytes, c.head, n)
		if text != "" {
			c.limits.ended(reason)
			return true, text
		}
	}
	return c.isWaiting && c.hasBegun, ""
}

// lookAgain extends a wait that has reached a limit for a short time, once. A request that arrived while
// the VM was suspended is then read before its connection is given up.
func (c *serverConn) lookAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	end := c.waitEnd()
	isDue := func(t time.Time) bool { return !t.IsZero() && !t.After(now) }
	if !c.isWaiting || c.hasLooked || !isDue(end) || isDue(c.asked) || isDue(c.closeAt) || isDue(c.endAt) {
		return false
	}
	c.hasLooked = true
	c.since = now.Add(lastLook - c.waitLimit())
	return c.applyDeadline() == nil
}

func (c *serverConn) observeTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isWaiting || c.server.stopping.Load():
	case c.hasBegun:
		c.limits.ended(headTooLong)
	default:
		c.limits.ended(idleTooLong)
	}
}

// waitLimit returns the limit on the present wait, or 0. c.mu must be held.
func (c *serverConn) waitLimit() time.Duration {
	if c.hasBegun {
		return c.limits.Time
	}
	return c.limits.Idle
}

// waitEnd returns when the present wait reaches its limit, or zero. c.mu must be held.
func (c *serverConn) waitEnd() time.Time {
	limit := c.waitLimit()
	if !c.isWaiting || limit <= 0 {
		return time.Time{}
	}
	return c.since.Add(limit)
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.mu.Lock()
	c.head.Release()
	c.mu.Unlock()
	return c.Conn.Close()
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
	d := c.asked
	if c.isWaiting {
		limit := c.closeAt
		if c.hasBegun {
			limit = c.endAt
		}
		for _, t := range []time.Time{limit, c.waitEnd()} {
			if !t.IsZero() && (d.IsZero() || t.Before(d)) {
				d = t
			}
		}
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
	if c.isWaiting {
		c.await()
		if c.server.stopping.Load() {
			c.closeAt = time.Now().Add(lastLook)
		}
	}
	_ = c.applyDeadline() // the next read fails if this does
}

// await begins to wait for a request. c.mu must be held.
func (c *serverConn) await() {
	c.head.Release()
	c.isWaiting, c.hasLooked, c.headBytes, c.since = true, false, 0, time.Now()
	c.limits = c.server.headLimits()
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
