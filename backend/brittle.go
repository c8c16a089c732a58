package backend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreadableRefusals is the number of refusals a second that a brittle server is taken to bear if
	// its statement cannot be read.
	unreadableRefusals = 1
	// brittleTTL is how long a server counts as brittle of which nothing was heard.
	brittleTTL = time.Minute
	// refusalReserve is by how much longer a node leaves a brittle server alone after a refusal than its part
	// of the refusals asks for.
	refusalReserve = 1.25
	// maxRefusalWait bounds that time.
	maxRefusalWait = 20 * time.Second
)

// Brittle records which servers fall over if they must turn away more than a few requests a second. What a
// server states holds for one incarnation. The zero value has none.
type Brittle struct {
	mu            sync.Mutex
	byIncarnation map[string]brittleServer
}

type brittleServer struct {
	refusals float64 // that it bears in a second, of all nodes together
	at       time.Time
}

// Observe records what a response states of its server, and reports whether that is new.
func (b *Brittle) Observe(now time.Time, s *Server, a Asks) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.Brittle && a.BrittleErr == nil {
		_, changed = b.byIncarnation[s.Incarnation()]
		delete(b.byIncarnation, s.Incarnation())
		return changed
	}
	next := brittleServer{a.MaxRefusals, now}
	if a.BrittleErr != nil {
		next.refusals = unreadableRefusals
	}
	maps.DeleteFunc(b.byIncarnation, func(_ string, old brittleServer) bool { return now.Sub(old.at) > brittleTTL })
	old, ok := b.byIncarnation[s.Incarnation()]
	if b.byIncarnation == nil {
		b.byIncarnation = make(map[string]brittleServer)
	}
	b.byIncarnation[s.Incarnation()] = next
	return !ok || old.refusals != next.refusals
}

// Refusals returns the number of requests that a server bears to turn away in a second, if it is brittle.
func (b *Brittle) Refusals(now time.Time, s *Server) (perSecond float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.byIncarnation) == 0 {
		return 0, false
	}
	known, ok := b.byIncarnation[s.Incarnation()]
	return known.refusals, ok && now.Sub(known.at) <= brittleTTL
}

// DealPlaces deals the requests that a brittle server runs at once out among the nodes, so that none waits there:
// each node may have as many in flight as it has places. All that know the same nodes deal alike. Which nodes get
// one more than others, or one at all, differs from server to server.
func DealPlaces(s *Server, nodes []string) map[string]int {
	places := make(map[string]int, len(nodes))
	if len(nodes) == 0 {
		return places
	}
	order := slices.SortedFunc(slices.Values(nodes), func(a, b string) int {
		return cmp.Or(cmp.Compare(placeHash(s, a), placeHash(s, b)), cmp.Compare(a, b))
	})
	for i, node := range order {
		places[node] = s.MaxRequests / len(nodes)
		if i < s.MaxRequests%len(nodes) {
			places[node]++
		}
	}
	return places
}

func placeHash(s *Server, node string) uint64 { return xxhash.Sum64String(s.ID + "/" + node) }

// refusalWait returns how long a node sends nothing to a brittle server that has turned one of its requests
// away. As many nodes as have places may be turned away together, and must not come back together.
func refusalWait(s *Server, refusals float64) time.Duration {
	if refusals <= 0 {
		return maxRefusalWait
	}
	seconds := refusalReserve * float64(max(1, s.MaxRequests)) / refusals
	d := min(maxRefusalWait, time.Duration(seconds*float64(time.Second)))
	return d + Jitter(d/2)
}
