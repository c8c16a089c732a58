package backend

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// returnGrace is how long after an outage of the store a server that is
// missing there may still come back: the platform's bound for live servers.
const returnGrace = 2 * time.Second

// Registry is what is known of the backend servers. Rows that vanish while the
// store is away, or shortly after its return, are kept until the live servers
// have had time to write theirs again. The zero value is an empty registry.
type Registry struct {
	mu       sync.Mutex
	servers  map[string]Server
	missing  map[string]bool // removed, but perhaps only by the outage
	away     bool
	returned time.Time
	read     bool
	view     atomic.Pointer[View]
}

// Put records what a server says of itself.
func (r *Registry) Put(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(s)
	r.publish()
}

func (r *Registry) put(s Server) {
	if r.servers == nil {
		r.servers, r.missing = make(map[string]Server), make(map[string]bool)
	}
	r.servers[s.ID] = s
	delete(r.missing, s.ID)
}

// Remove records that the row of a server is gone.
func (r *Registry) Remove(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(now, id)
	r.publish()
}

func (r *Registry) remove(now time.Time, id string) {
	if _, ok := r.servers[id]; !ok {
		return
	}
	if r.away || now.Sub(r.returned) < returnGrace {
		r.missing[id] = true
		return
	}
	delete(r.servers, id)
}

// Replace records a whole reading of the rows.
func (r *Registry) Replace(now time.Time, servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		r.put(s)
		present[s.ID] = true
	}
	for id := range r.servers {
		if !present[id] {
			r.remove(now, id)
		}
	}
	r.read = true
	r.publish()
}

// StoreUnavailable records that the store does not answer.
func (r *Registry) StoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// StoreAvailable records that the store answers again.
func (r *Registry) StoreAvailable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.away, r.returned = false, now
	}
}

// Tick drops the servers that did not come back after an outage, and returns
// their ids.
func (r *Registry) Tick(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away || len(r.missing) == 0 || now.Sub(r.returned) < returnGrace {
		return nil
	}
	var ids []string
	for id := range r.missing {
		delete(r.servers, id)
		ids = append(ids, id)
	}
	clear(r.missing)
	r.publish()
	return ids
}

// View returns the present servers, or nil before the first whole reading.
func (r *Registry) View() *View { return r.view.Load() }

func (r *Registry) publish() {
	if !r.read {
		return
	}
	v := &View{byID: make(map[string]*Server, len(r.servers)), pools: make(map[string][]*Server)}
	for _, s := range r.servers {
		v.byID[s.ID] = &s
		v.pools[s.Pool] = append(v.pools[s.Pool], &s)
	}
	for _, list := range v.pools {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
}

// View is the registry at one moment. It is immutable.
type View struct {
	byID  map[string]*Server
	pools map[string][]*Server
}

// Server returns the server with the given id.
func (v *View) Server(id string) (*Server, bool) {
	if v == nil {
		return nil, false
	}
	s, ok := v.byID[id]
	return s, ok
}

// Pool returns the servers of a pool, sorted by id, those that are leaving
// included. The caller must not modify them.
func (v *View) Pool(name string) []*Server {
	if v == nil {
		return nil
	}
	return v.pools[name]
}
