package backend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// reregisterGrace is how long live servers may take to write their rows again
// after an outage of the store. The platform defines this bound.
const reregisterGrace = 2 * time.Second

// defaultRowTTL is several times the interval at which servers write their rows.
const defaultRowTTL = 10 * time.Second

// Registry tracks the backend servers. Servers whose rows disappear during an
// outage or by a restore of the store, or within reregisterGrace after it, are kept until
// the grace period has ended, so that live servers can write their rows again. An
// incarnation that is draining stays so, whatever its row says later. A removed server
// that is in a restored store again is not used before its row is written anew, or has
// stayed for RowTTL. The zero value is an empty registry.
type Registry struct {
	// RowTTL is the longest time that the row of a server that is gone stays in the store
	// after a restore; 0 means defaultRowTTL. Set it before the first use.
	RowTTL time.Duration

	mu               sync.Mutex
	servers          map[string]Server
	former           formerIncarnations
	missing          map[string]bool   // IDs of servers whose rows may be gone because of an outage
	unconfirmed      map[string]Server // rows that may be of a copy and out of date
	storeUnavailable bool
	availableSince   time.Time // end of the last outage or restore
	restored         bool      // rows may be of the copy that the store was restored from
	initialised      bool
	view             atomic.Pointer[View]
}

// Put adds or updates servers from their rows.
func (r *Registry) Put(servers ...Server) {
	if len(servers) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		r.put(s)
	}
	r.updateView()
}

func (r *Registry) put(s Server) {
	if r.servers == nil {
		r.servers, r.missing = make(map[string]Server), make(map[string]bool)
	}
	old, ok := r.servers[s.ID]
	switch {
	case ok && old.StartMS == s.StartMS:
		s.Draining = s.Draining || old.Draining
	case ok:
		r.former.add(&old)
	}
	s.Draining = s.Draining || r.former.wasDraining(&s)
	r.former.remove(&s)
	r.servers[s.ID] = s
	delete(r.missing, s.ID)
	delete(r.unconfirmed, s.ID)
}

// SetDraining records that an incarnation of a server stated that it is draining. It
// reports whether that was not known.
func (r *Registry) SetDraining(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.servers[s.ID]
	if !ok || known.StartMS != s.StartMS {
		if r.former.wasDraining(s) {
			return false
		}
		draining := *s
		draining.Draining = true
		r.former.add(&draining)
		return true
	}
	if known.Draining {
		return false
	}
	known.Draining = true
	r.servers[s.ID] = known
	r.updateView()
	return true
}

// Remove records that the row of a server was deleted.
func (r *Registry) Remove(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unconfirmed, id)
	r.remove(now, id)
	r.updateView()
}

func (r *Registry) remove(now time.Time, id string) {
	if _, ok := r.servers[id]; !ok {
		return
	}
	if r.storeUnavailable || now.Sub(r.availableSince) < reregisterGrace {
		r.missing[id] = true
		return
	}
	r.drop(id)
}

// drop removes a server that is gone.
func (r *Registry) drop(id string) {
	s := r.servers[id]
	r.former.add(&s)
	delete(r.servers, id)
}

// Replace updates the registry from a complete list of the rows.
func (r *Registry) Replace(now time.Time, servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(now, servers)
}

// Restore is like [Registry.Replace] for a list that was read after the store had been
// restored from a copy. It may lack the rows of live servers, and have rows of servers
// that are gone.
func (r *Registry) Restore(now time.Time, servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.availableSince, r.restored = now, true
	r.replace(now, servers)
}

func (r *Registry) replace(now time.Time, servers []Server) {
	present := make(map[string]bool, len(servers))
	mayBeOutdated := r.restored && !r.areRowsSettled(now)
	r.unconfirmed = make(map[string]Server)
	for _, s := range servers {
		if mayBeOutdated && r.isOutdated(&s) {
			r.unconfirmed[s.ID] = s
			continue
		}
		r.put(s)
		present[s.ID] = true
	}
	for id := range r.servers {
		if !present[id] {
			r.remove(now, id)
		}
	}
	r.initialised = true
	r.updateView()
}

// isOutdated reports whether a row that may be of a copy is of an incarnation that has
// been removed or replaced.
func (r *Registry) isOutdated(s *Server) bool {
	if known, ok := r.servers[s.ID]; ok {
		return s.StartMS < known.StartMS
	}
	return r.former.has(s)
}

// areRowsSettled reports whether the store has been available for so long that the rows
// of servers that are gone have been removed.
func (r *Registry) areRowsSettled(now time.Time) bool {
	return !r.storeUnavailable && now.Sub(r.availableSince) >= cmp.Or(r.RowTTL, defaultRowTTL)
}

// AddConfirmed adds the servers whose rows have stayed in a restored store for RowTTL, so
// that they are alive, and returns their IDs.
func (r *Registry) AddConfirmed(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.restored || !r.areRowsSettled(now) {
		return nil
	}
	r.restored = false
	if len(r.unconfirmed) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(r.unconfirmed))
	for _, id := range ids {
		r.put(r.unconfirmed[id])
	}
	r.updateView()
	return ids
}

// StoreUnavailable records the start of an outage of the store.
func (r *Registry) StoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable = true
}

// StoreAvailable records the end of an outage of the store.
func (r *Registry) StoreAvailable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeUnavailable {
		r.storeUnavailable, r.availableSince = false, now
	}
}

// RemoveMissing removes the servers that did not register again within reregisterGrace
// after an outage or a restore, and returns their IDs.
func (r *Registry) RemoveMissing(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeUnavailable || len(r.missing) == 0 || now.Sub(r.availableSince) < reregisterGrace {
		return nil
	}
	var ids []string
	for id := range r.missing {
		r.drop(id)
		ids = append(ids, id)
	}
	clear(r.missing)
	r.updateView()
	return ids
}

// View returns a snapshot of the registry, or nil before the first call of
// Replace.
func (r *Registry) View() *View { return r.view.Load() }

func (r *Registry) updateView() {
	if !r.initialised {
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
