package backend

import (
	"maps"
	"sync"
	"time"
)

const (
	// minUnreachable is the number of servers of a pool that must be out of reach before the node takes itself
	// for cut off from the pool. Pools with fewer servers need all.
	minUnreachable = 3
	// unreachableTTL is how long a failed connection counts.
	unreachableTTL = 3 * time.Second
	// minSilence is the time without an answer from any server of the pool. While some of its servers are
	// down, the others answer within that.
	minSilence = 250 * time.Millisecond
	// reachValidFor is how long a decision on a pool is kept: the servers are looked through for
	// each decision.
	reachValidFor = 20 * time.Millisecond
)

// Reach decides whether this node is cut off from the servers of a pool: several of them accept no
// connection, or let one end without an answer, and none has answered for a while. The zero value is
// ready to use.
type Reach struct {
	mu    sync.Mutex
	addrs map[string]addressReach
	pools map[string]poolReach
}

// addressReach holds when a server last answered, when a connection to it last failed, and when a request
// last ended that it had not answered for long.
type addressReach struct{ answered, failed, unanswered time.Time }

type poolReach struct {
	isCutOff   bool
	isSuspect  bool // it may be cut off: the pool is silent, and a server has failed
	decided    time.Time
	cutOffFrom time.Time
}

// ObserveAnswer records that the server at an address has answered, if only with a refusal, or accepted a
// connection.
func (r *Reach) ObserveAnswer(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.addrs[address]
	a.answered = now
	r.put(address, a)
}

// ObserveFailure records that a connection to an address failed.
func (r *Reach) ObserveFailure(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.addrs[address]
	a.failed = now
	r.put(address, a)
}

// ObserveNoAnswer records that a request to an address ended before an answer came, and after a long time.
// That alone may also be due to a server that is busy.
func (r *Reach) ObserveNoAnswer(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.addrs[address]
	a.unanswered = now
	r.put(address, a)
}

func (r *Reach) put(address string, a addressReach) {
	if r.addrs == nil {
		r.addrs = make(map[string]addressReach)
	}
	r.addrs[address] = a
}

// Keep forgets all but the given addresses.
func (r *Reach) Keep(addresses map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.addrs, func(address string, _ addressReach) bool { return !addresses[address] })
}

// IsCutOff reports whether the node is cut off from the servers of a pool. The servers are all of
// the pool.
func (r *Reach) IsCutOff(now time.Time, pool string, servers func() []*Server) bool {
	return r.look(now, pool, servers).isCutOff
}

func (r *Reach) look(now time.Time, pool string, servers func() []*Server) poolReach {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if !p.decided.IsZero() && now.Sub(p.decided) < reachValidFor {
		return p
	}
	last := p
	p.decided = now
	p.isCutOff, p.isSuspect = r.decide(now, servers(), last)
	if p.isCutOff && !last.isCutOff {
		p.cutOffFrom = now
	}
	if r.pools == nil {
		r.pools = make(map[string]poolReach)
	}
	r.pools[pool] = p
	return p
}

// decide looks through the servers of a pool. The caller holds r.mu.
func (r *Reach) decide(now time.Time, servers []*Server, last poolReach) (isCutOff, isSuspect bool) {
	var answered time.Time
	for _, s := range servers {
		if a := r.addrs[s.Address]; a.answered.After(answered) {
			answered = a.answered
		}
	}
	if last.isCutOff && len(servers) > 0 {
		return !answered.After(last.cutOffFrom), false
	}
	if now.Sub(answered) < minSilence {
		return false, false
	}
	isRecent := func(at time.Time) bool { return at.After(answered) && now.Sub(at) <= unreachableTTL }
	failed, unanswered := 0, 0
	for _, s := range servers {
		switch a := r.addrs[s.Address]; {
		case isRecent(a.failed):
			failed++
		case isRecent(a.unanswered):
			unanswered++
		}
	}
	isCutOff = failed > 0 && failed+unanswered >= min(minUnreachable, len(servers))
	return isCutOff, !isCutOff && failed+unanswered > 0
}

// ToTry returns servers of a pool that a connection should be tried to: one if the node is cut off from it, and
// several that have not failed yet if it may be. They are the first suitable ones.
func (r *Reach) ToTry(now time.Time, pool string, servers []*Server) (list []*Server) {
	p := r.look(now, pool, func() []*Server { return servers })
	if p.isCutOff {
		return servers[:min(1, len(servers))]
	}
	if !p.isSuspect {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		if len(list) < minUnreachable && now.Sub(r.addrs[s.Address].failed) > unreachableTTL {
			list = append(list, s)
		}
	}
	return list
}
