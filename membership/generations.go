package membership

import (
	"sync"
	"time"
)

// maxUnconfirmed is the number of nodes that need not have confirmed a generation of the
// table before leases of earlier ones count as ended. The witnesses of a lease are among the
// nodes of any copy, and more of them must agree to extend it. In a system of fewer than
// minNodesForUnconfirmed others all must have confirmed.
const (
	maxUnconfirmed         = 1
	minNodesForUnconfirmed = 4
)

// MinConsentsAcrossRestores is how many witnesses must agree to an extension of a lease if the
// table may be restored: one more than may be left that do not know of the restore.
const MinConsentsAcrossRestores = maxUnconfirmed + 1

// Generations decides from when leases of earlier generations of the table count as ended.
// A table that was restored from a copy may lack the sessions, witnesses and owners of
// the last seconds. Its rows of before then tell nothing about who holds a lease.
//
// A lease that was renewed in the table before the restore ends within LeaseTime after it.
// It can be extended only by witnesses that do not know of the restore. Once all nodes
// but one have confirmed that they do, a lease ago, no such lease is left. Which nodes there
// are is known only once the sessions were read in the current generation. Nodes that
// cannot be reached are outwaited.
//
// It is safe for concurrent use.
type Generations struct {
	// LeaseTime is how long after its last extension a lease may be in use, including the
	// margin for clocks.
	LeaseTime time.Duration
	// MaxExtension is how long after its last renewal in the table a lease can be extended.
	MaxExtension time.Duration

	mu      sync.Mutex
	current int64
	since   time.Time
	settled bool
	listed  bool                 // the sessions were read in the current generation
	nodes   map[string]knownNode // other nodes that may hold a lease, by name
}

// knownNode is a node that may hold a lease of an earlier generation, or have given its
// consent to one, until it has confirmed the current generation.
type knownNode struct {
	address     string
	confirmed   bool
	confirmedAt time.Time
}

// mayHaveAgreed reports whether a lease may be in use that the node has extended without
// knowing the current generation.
func (n knownNode) mayHaveAgreed(now time.Time, leaseTime time.Duration) bool {
	return !n.confirmed || now.Sub(n.confirmedAt) <= leaseTime
}

// Current returns the latest known generation, or 0 if the table states none.
func (g *Generations) Current() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// Advance records a generation, and reports whether it is later than those known. The time
// now must be taken after the response that states it was received.
func (g *Generations) Advance(generation int64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation <= g.current {
		return false
	}
	g.current, g.since, g.settled, g.listed = generation, now, false, false
	for name, n := range g.nodes {
		n.confirmed = false
		g.nodes[name] = n
	}
	return true
}

// Observe records a node, and the generation that its session row or its response states.
func (g *Generations) Observe(name, address string, generation int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.nodes == nil {
		g.nodes = make(map[string]knownNode)
	}
	n := g.nodes[name]
	n.address = address
	if generation == g.current && !n.confirmed {
		n.confirmed, n.confirmedAt = true, now
	}
	g.nodes[name] = n
}

// Retain takes note of a read of all sessions in the current generation, and forgets the nodes
// whose session rows are gone. Before the leases of earlier
// generations have ended, it keeps those that may have agreed to one, since their rows
// may merely be missing in the copy.
func (g *Generations) Retain(hasSession func(name string) bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
	settled := g.isSettled(now)
	for name, n := range g.nodes {
		if (settled || !n.mayHaveAgreed(now, g.LeaseTime)) && !hasSession(name) {
			delete(g.nodes, name)
		}
	}
}

// Settled reports whether every lease of an earlier generation has ended.
func (g *Generations) Settled(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSettled(now)
}

// isSettled must be called with g.mu held.
func (g *Generations) isSettled(now time.Time) bool {
	age := now.Sub(g.since)
	if g.settled || g.current == 0 || age > g.MaxExtension+g.LeaseTime {
		g.settled = true
		return true
	}
	mayHaveAgreed := 0
	for _, n := range g.nodes {
		if n.mayHaveAgreed(now, g.LeaseTime) {
			mayHaveAgreed++
		}
	}
	allowed := 0
	if len(g.nodes) >= minNodesForUnconfirmed {
		allowed = maxUnconfirmed
	}
	g.settled = g.listed && age > g.LeaseTime && mayHaveAgreed <= allowed
	return g.settled
}

// Unconfirmed returns the addresses of the nodes that have not confirmed the current
// generation.
func (g *Generations) Unconfirmed() (addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.nodes {
		if !n.confirmed {
			addresses = append(addresses, n.address)
		}
	}
	return addresses
}
