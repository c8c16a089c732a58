package backend

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failureMemory is how long a failure counts against a server.
	failureMemory = 2 * time.Second
	// failureCost is how many requests in flight one recent failure outweighs.
	failureCost = 2
	// maxFailures bounds what failures count, so that a server is tried again.
	maxFailures = 8
	// remoteCost is how many requests in flight another data centre outweighs.
	remoteCost = 1
)

// Balancer chooses servers of plain pools by the requests that this node has
// in flight there, recent failures, and the data centre. The zero value is
// ready to use.
type Balancer struct {
	DataCenter string // of this node

	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	inFlight int
	failures float64 // decays to nothing within failureMemory
	failedAt time.Time
}

// Pick returns the best server for one more request, or nil. Servers that are
// leaving or excluded are passed over. The caller must call done when the
// request has ended, and say whether the server failed it.
func (b *Balancer) Pick(now time.Time, servers []*Server, excluded map[string]bool) (s *Server, done func(now time.Time, failed bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	var bestCost float64
	for _, s := range servers {
		if s.Draining || excluded[s.ID] {
			continue
		}
		cost := b.cost(now, s) + rand.Float64()/2 // ties go to any of them
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
			l.failures, l.failedAt = min(maxFailures, l.recent(now)+1), now
		}
	}
}

func (b *Balancer) cost(now time.Time, s *Server) float64 {
	cost := 0.0
	if l := b.loads[s.Incarnation()]; l != nil {
		cost = float64(l.inFlight) + failureCost*l.recent(now)
	}
	if s.DataCenter != b.DataCenter {
		cost += remoteCost
	}
	return cost
}

func (b *Balancer) load(key string) *load {
	if b.loads == nil {
		b.loads = make(map[string]*load)
	}
	l := b.loads[key]
	if l == nil {
		l = &load{}
		b.loads[key] = l
	}
	return l
}

func (l *load) recent(now time.Time) float64 {
	left := 1 - float64(now.Sub(l.failedAt))/float64(failureMemory)
	return l.failures * max(0, left)
}
