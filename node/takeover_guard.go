package node

import (
	"sync"
	"time"
)

// takeoverGuard records which processes this node has agreed not to replace, so that a
// lease can be extended while the table cannot be reached.
//
// A node takes over the engines of another only if the other's session has expired in
// the table and the two have had no contact for the lease TTL plus the margin. An owner
// that has just exchanged heartbeats with every other member can therefore not be
// replaced, and may count its lease from the oldest of those heartbeats. It may do so
// only while its lease is still valid: once the lease has expired, another node may
// already have replaced it.
//
// Outages of the table last several leases, and without a valid lease a node sends no
// commands, so no adapter could be loaded.
type takeoverGuard struct {
	TTL    time.Duration
	Margin time.Duration

	mu          sync.Mutex
	lastContact map[string]time.Time // process to the time of the last contact
	takeovers   map[string]time.Time // process to the start of the takeover of its engines
}

// recordContact records a heartbeat of a process. It reports whether the process can
// rely on not being replaced by this node: false once this node has begun to take over
// its engines.
func (g *takeoverGuard) recordContact(process string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.takeovers[process]; ok {
		return false
	}
	if g.lastContact == nil {
		g.lastContact = make(map[string]time.Time)
	}
	g.lastContact[process] = now
	return true
}

// beginTakeover reports whether this node may take over the engines of a process. If
// so, recordContact returns false for the process from then on.
func (g *takeoverGuard) beginTakeover(process string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.lastContact[process]; ok && now.Sub(at) <= g.TTL+g.Margin {
		return false
	}
	if g.takeovers == nil {
		g.takeovers = make(map[string]time.Time)
	}
	g.takeovers[process] = now
	return true
}

// cancelTakeover records that no engine was taken over.
func (g *takeoverGuard) cancelTakeover(process string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.takeovers, process)
}

// takeoverRecordLeases is how long the start of a takeover is remembered, in lease TTLs
// plus margins. Without this node's agreement the lease of the replaced process ends
// within one.
const takeoverRecordLeases = 4

// expire deletes records that are too old to affect a decision.
func (g *takeoverGuard) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, at := range g.lastContact {
		if now.Sub(at) > g.TTL+g.Margin {
			delete(g.lastContact, p)
		}
	}
	for p, at := range g.takeovers {
		if now.Sub(at) > takeoverRecordLeases*(g.TTL+g.Margin) {
			delete(g.takeovers, p)
		}
	}
}
