package standin

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTime bounds how long a connection that was closed delivers what was written before.
const lingerTime = 10 * time.Second

// pipeConn is one end of a connection. What is written with a delay is delivered also after
// the connection was closed, as TCP does, unless SetLinger says otherwise.
type pipeConn struct {
	net.Conn
	address pipeAddr
	silent  *atomic.Bool         // what is written is lost
	delay   func() time.Duration // of the next write; nil for none

	mu         sync.Mutex
	queue      []delayedWrite
	delivering bool // a goroutine delivers the queue
	closed     bool
	resets     bool // Close discards the queue
}

type delayedWrite struct {
	at   time.Time // of its delivery
	data []byte
}

// Write implements net.Conn.
func (c *pipeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	var d time.Duration
	if c.delay != nil {
		d = c.delay()
	}
	if c.enqueue(p, d) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// enqueue queues a write that is delayed, or that follows one. It reports whether it did.
func (c *pipeConn) enqueue(p []byte, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || d == 0 && !c.delivering {
		return false
	}
	c.queue = append(c.queue, delayedWrite{time.Now().Add(d), bytes.Clone(p)})
	if !c.delivering {
		c.delivering = true
		go c.deliver()
	}
	return true
}

// deliver delivers the queue, and closes the connection then if Close has left that to it.
func (c *pipeConn) deliver() {
	for {
		w, ok := c.nextWrite()
		if !ok {
			return
		}
		time.Sleep(time.Until(w.at))
		if c.silent.Load() || c.isReset() {
			continue
		}
		if _, err := c.Conn.Write(w.data); err != nil { // the other end has gone
			c.mu.Lock()
			c.queue = nil
			c.mu.Unlock()
		}
	}
}

// nextWrite returns the next write of the queue, or ends the delivery.
func (c *pipeConn) nextWrite() (delayedWrite, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.delivering = false
		if c.closed {
			_ = c.Conn.Close() // a pipe closes without an error
		}
		return delayedWrite{}, false
	}
	w := c.queue[0]
	c.queue = c.queue[1:]
	return w, true
}

func (c *pipeConn) isReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed && c.resets
}

// SetLinger sets what Close does with bytes that are not delivered, as the method of net.TCPConn:
// if sec is 0, they are discarded; otherwise they are delivered.
func (c *pipeConn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = sec == 0
	return nil
}

// Close implements net.Conn.
func (c *pipeConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.resets {
		c.queue = nil
	}
	if !c.delivering || c.resets {
		return c.Conn.Close()
	}
	now := time.Now()
	if err := c.SetReadDeadline(now); err != nil { // ends a read that waits at this end
		return err
	}
	return c.SetWriteDeadline(now.Add(lingerTime))
}

// LocalAddr implements net.Conn.
func (c *pipeConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn.
func (c *pipeConn) RemoteAddr() net.Addr { return c.address }
