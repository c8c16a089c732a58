package entry

import (
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

// placesValidFor is how long the places at brittle servers are kept once they were dealt out.
const placesValidFor = 250 * time.Millisecond

// places holds the requests that nodes may have in flight at brittle servers.
type places struct {
	nodes func() []string // names of the nodes that share them

	mu       sync.Mutex
	dealt    time.Time
	byServer map[string]map[string]int // by incarnation and node
}

// get returns the requests that a node may have in flight at a server.
func (p *places) get(s *backend.Server, node string) int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byServer == nil || now.Sub(p.dealt) > placesValidFor {
		p.dealt, p.byServer = now, make(map[string]map[string]int)
	}
	if p.byServer[s.Incarnation()] == nil {
		p.byServer[s.Incarnation()] = backend.DealPlaces(s, p.nodes())
	}
	return p.byServer[s.Incarnation()][node]
}
