package listen

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/memory"
)

// Conn is a connection of a [Listener].
type Conn struct {
	net.Conn
	listener *Listener
	start    time.Time
	holding  *memory.Holding
	hasSent  atomic.Bool   // the client has sent something
	silent   *list.Element // of the listener's list; nil if it is in none; guarded by the listener
	closed   bool          // guarded by the listener

	mu     sync.Mutex // guards the fields below; not held while bytes are written
	until  time.Time  // write deadline
	queued int        // bytes in the kernel that the client had not taken at the last time-out; -1 if unknown
	isSlow bool       // a write had to wait for the client
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.hasSent.Swap(true) {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.leaveSilent()
	}
	return n, err
}

// leaveSilent removes the connection from the list of silent ones. The listener's mutex must be held.
func (c *Conn) leaveSilent() {
	if c.silent != nil {
		c.listener.silent.Remove(c.silent)
		c.silent = nil
	}
}

// Write implements net.Conn. It fails once the client has taken nothing for the listener's time. What
// the kernel then holds for a client that makes a write wait counts in the budget.
func (c *Conn) Write(p []byte) (written int, err error) {
	step := c.listener.Limits.Unread / unreadSteps
	if step <= 0 {
		return c.Conn.Write(p)
	}
	progressAt := time.Now()
	for {
		if err := c.extendWrite(step); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !isTimeout(err) {
			return written, err
		}
		isProgress, fits := c.observeWait(n)
		switch {
		case !fits:
			c.listener.ended(OverBudget)
			return written, err
		case isProgress:
			progressAt = time.Now()
		case c.listener.isUnread(progressAt):
			c.listener.ended(Unread)
			return written, err
		}
	}
}

// extendWrite sets the write deadline. One that is nearly as late stays, which saves a call for each
// event of a stream.
func (c *Conn) extendWrite(step time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.until.Sub(now) >= step*3/4 {
		return nil
	}
	c.until = now.Add(step)
	return c.Conn.SetWriteDeadline(c.until)
}

// observeWait records a write that timed out after n bytes. It reports whether the client has taken
// something since the last one, and whether what it has not taken fits into the budget.
func (c *Conn) observeWait(n int) (isProgress, fits bool) {
	queued := unreadBytes(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
	if !c.isSlow && !c.holding.Grow(SendBufferBytes) {
		return false, false
	}
	c.isSlow = true
	isProgress = n > 0 || queued >= 0 && queued < c.queued
	c.queued = queued
	return isProgress, true
}

// unreadBytes returns how many bytes are queued in the kernel that the client has not taken, or -1 if it
// cannot be told.
func unreadBytes(conn net.Conn) int {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	queued := -1
	if err := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	}); err != nil {
		return -1
	}
	return queued
}

// SetWriteDeadline implements net.Conn. The next write replaces the deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends what the client reads.
func (c *Conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.conns--
		c.leaveSilent()
	}
	c.listener.mu.Unlock()
	c.holding.Release() // also what a write has added since
	return c.Conn.Close()
}
