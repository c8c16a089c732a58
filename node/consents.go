package node

import (
	"sync"
	"time"
)

// consents keeps a node's lease alive while the table cannot be reached.
//
// A node takes the engines of another only when its session has lapsed in the
// table and nothing was heard from it for a lease's time and a margin. So a
// holder that has just been heard by every other member cannot be replaced, and
// may count its lease from the oldest of those heartbeats. It may do so only
// while its lease is still valid: after a gap somebody may have replaced it.
//
// The load that this answers: outages of the table last several leases, and
// without orders no adapter can be loaded.
type consents struct {
	TTL    time.Duration
	Margin time.Duration

	mu     sync.Mutex
	heard  map[string]time.Time // by process: when it was last heard
	taking map[string]time.Time // processes whose engines this node has begun to take, and when
}

// hear records a sign of life of a process. It reports whether the process may
// rely on it: false once this node has begun to take its engines.
func (c *consents) hear(process string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.taking[process]; ok {
		return false
	}
	if c.heard == nil {
		c.heard = make(map[string]time.Time)
	}
	c.heard[process] = now
	return true
}

// beginTaking reports whether this node may take the engines of a process. From
// then on the process can no longer rely on this node.
func (c *consents) beginTaking(process string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.heard[process]; ok && now.Sub(at) <= c.TTL+c.Margin {
		return false
	}
	if c.taking == nil {
		c.taking = make(map[string]time.Time)
	}
	c.taking[process] = now
	return true
}

// abandonTaking records that nothing was taken after all.
func (c *consents) abandonTaking(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.taking, process)
}

// takingKept is for how many lease times a process is refused after its engines
// were begun to be taken. Without this node's consent its lease ends within one.
const takingKept = 4

// expire drops what no longer makes a difference.
func (c *consents) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p, at := range c.heard {
		if now.Sub(at) > c.TTL+c.Margin {
			delete(c.heard, p)
		}
	}
	for p, at := range c.taking {
		if now.Sub(at) > takingKept*(c.TTL+c.Margin) {
			delete(c.taking, p)
		}
	}
}
