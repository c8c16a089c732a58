package backend

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failureTTL is how long a failure counts against a server.
	failureTTL = 2 * time.Second
	// failureCost is the cost of a recent failure, in requests in flight.
	failureCost = 2
	// maxFailureCount caps the failure count, so that a failing server is tried again.
	maxFailureCount = 8
	// refusalTime is how long a server that accepted no connection is taken for one that is down.
	refusalTime = 500 * time.Millisecond
	// remoteCost is the cost of another data centre, in requests in flight.
	remoteCost = 1
)

// Balancer chooses servers of plain pools by this node's requests in flight, its
// recent failures, and the data centre. The zero value is ready to use.
type Balancer struct {
	DataCenter string // data centre of this node
	Pauses     Pauses // pauses that servers have asked for
	Paces      Paces  // times that servers take from event to event of a stream
	Brittle    Brittle
	// Places, which is optional, returns the requests that this node may have in flight at a brittle server.
	Places func(s *Server) int

	mu      sync.Mutex
	loads   map[string]*serverLoad
	refused map[string]time.Time // when an incarnation last accepted no connection
}

type serverLoad struct {
	inFlight int
	failures float64 // count at failedAt; decays linearly to zero within failureTTL
	failedAt time.Time
}

// Pick returns the server with the lowest cost for a request, or nil. It skips
// draining, paused and excluded servers, and brittle ones at which this node has its part of the
// requests. The caller must call done when the request has
// ended, and report whether the server failed it.
func (b *Balancer) Pick(now time.Time, servers []*Server, excluded map[string]bool) (s *Server, done func(now time.Time, failed bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	var bestCost float64
	for _, s := range servers {
		if excluded[s.ID] || !b.IsUsable(now, s) || b.isFull(now, s) {
			continue
		}
		cost := b.cost(now, s) + rand.Float64()/2 // break ties at random
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil, nil
	}
	l := b.load(best.Incarnation())
	l.inFlight++
	return best, func(now time.Time, failed bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		l.inFlight--
		if failed {
			l.failures, l.failedAt = min(maxFailureCount, l.recentFailures(now)+1), now
		}
	}
}

// IsUsable reports whether a server may get new requests from this node: it does not drain,
// has not asked for a pause, and its limit may have room.
func (b *Balancer) IsUsable(now time.Time, s *Server) bool {
	return !s.Draining && b.Pauses.IsOpen(now, s)
}

// isFull reports whether this node has as many requests in flight at a brittle server as it may. The
// caller holds b.mu.
func (b *Balancer) isFull(now time.Time, s *Server) bool {
	if _, ok := b.Brittle.Refusals(now, s); !ok {
		return false
	}
	l := b.loads[s.Incarnation()]
	return l != nil && l.inFlight >= b.places(s) || b.places(s) == 0
}

// HasFull reports whether one of the servers would be picked if this node had fewer requests in flight
// there.
func (b *Balancer) HasFull(now time.Time, servers []*Server, excluded map[string]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range servers {
		if !excluded[s.ID] && b.IsUsable(now, s) && b.isFull(now, s) && b.places(s) > 0 {
			return true
		}
	}
	return false
}

func (b *Balancer) places(s *Server) int {
	if b.Places == nil {
		return s.MaxRequests
	}
	return b.Places(s)
}

// ObserveNoRoom records that a server has turned a request away for want of room.
func (b *Balancer) ObserveNoRoom(now time.Time, s *Server) {
	if refusals, ok := b.Brittle.Refusals(now, s); ok {
		b.Pauses.DelayTurn(now, s, refusalWait(s, refusals))
	}
}

// ObserveRefusal records that a server accepted no connection.
func (b *Balancer) ObserveRefusal(now time.Time, s *Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refused == nil {
		b.refused = make(map[string]time.Time)
	}
	maps.DeleteFunc(b.refused, func(_ string, at time.Time) bool { return now.Sub(at) >= refusalTime })
	b.refused[s.Incarnation()] = now
}

// IsDown reports whether a server has just accepted no connection.
func (b *Balancer) IsDown(now time.Time, s *Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.refused[s.Incarnation()]
	return ok && now.Sub(at) < refusalTime
}

func (b *Balancer) cost(now time.Time, s *Server) float64 {
	cost := 0.0
	if l := b.loads[s.Incarnation()]; l != nil {
		cost = float64(l.inFlight) + failureCost*l.recentFailures(now)
	}
	cost += failureCost * maxFailureCount * b.Pauses.recovery(now, s) // its load rises step by step
	if s.DataCenter != b.DataCenter {
		cost += remoteCost
	}
	return cost
}

func (b *Balancer) load(key string) *serverLoad {
	if b.loads == nil {
		b.loads = make(map[string]*serverLoad)
	}
	l := b.loads[key]
	if l == nil {
		l = &serverLoad{}
		b.loads[key] = l
	}
	return l
}

func (l *serverLoad) recentFailures(now time.Time) float64 {
	left := 1 - float64(now.Sub(l.failedAt))/float64(failureTTL)
	return l.failures * max(0, left)
}
