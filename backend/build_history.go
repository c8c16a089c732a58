package backend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// buildNotice is the time from when a software version is listed in the store until streams
	// begin at it. By then all nodes that reach the store have read its first server's row.
	buildNotice = 2500 * time.Millisecond
	// listingTime is the time in which the node that is chosen for it lists a software version.
	listingTime = 300 * time.Millisecond
	// listTimeout is how long streams do not begin at a software version that cannot be listed.
	listTimeout = 3 * time.Second
	// settledAfter is the time from the start of the first server of a version until all nodes have
	// had notice of it, also if the server registers late.
	settledAfter = 10 * time.Second
	// unlistAfter is how long a listed software version is without a server until its listing may be
	// removed. No caller takes up a stream by then. After relistAfter, which is shorter since
	// nodes read rows at different times, no node relies on its listing any more.
	unlistAfter = originRetention + 5*time.Second
	relistAfter = originRetention - 5*time.Second
)

// BuildHistory tracks the software versions of the servers of pools, to tell at which a stream can
// have begun. For each pool a row of the store lists all versions at which streams have begun
// within the time that a stream can be taken up, so that nodes know it that have just started. The zero
// value is ready to use. It is safe for concurrent use.
type BuildHistory struct {
	// Age, which is optional, returns the time since when changes of the rows of servers may have been
	// missed.
	Age func() time.Duration

	mu        sync.Mutex
	pools     map[string]*poolBuilds
	storeLost bool
}

// poolBuilds is what is known of the software versions of one pool.
type poolBuilds struct {
	since      time.Time // when it was first observed
	isRead     bool      // the row was read
	rowVersion int64     // of the row; 0 if there is none
	listed     map[string]time.Time
	ready      map[string]int       // servers that take new requests
	firstSeen  map[string]time.Time // of versions that have servers
	lastSeen   map[string]time.Time
	startMS    map[string]int64 // of the earliest start among the servers of a version, Unix ms
}

// BuildListing is a change of the row of a pool.
type BuildListing struct {
	Pool       string
	Builds     []string
	RowVersion int64 // of the row that it replaces; 0 if there is none
}

// Observe takes the servers of the pools in which streams may be resumed.
func (h *BuildHistory) Observe(now time.Time, view *View, pools []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools == nil {
		h.pools = make(map[string]*poolBuilds)
	}
	for _, name := range pools {
		p := h.pools[name]
		if p == nil {
			p = &poolBuilds{since: now, listed: make(map[string]time.Time), firstSeen: make(map[string]time.Time), lastSeen: make(map[string]time.Time)}
			h.pools[name] = p
		}
		p.observe(now, view.Pool(name))
	}
}

func (p *poolBuilds) observe(now time.Time, servers []*Server) {
	p.ready = make(map[string]int)
	p.startMS = make(map[string]int64)
	present := make(map[string]bool)
	for _, s := range servers {
		if !present[s.Build] || s.StartMS < p.startMS[s.Build] {
			p.startMS[s.Build] = s.StartMS
		}
		present[s.Build] = true
		if !s.Draining {
			p.ready[s.Build]++
		}
	}
	for build := range present {
		if last, ok := p.lastSeen[build]; ok && now.Sub(last) > relistAfter {
			delete(p.listed, build) // others may have removed it from the row
		}
		if p.firstSeen[build].IsZero() {
			p.firstSeen[build] = now
		}
		p.lastSeen[build] = now
	}
	maps.DeleteFunc(p.firstSeen, func(build string, _ time.Time) bool { return !present[build] })
}

// SetStoreLost records whether the rows of servers cannot be read.
func (h *BuildHistory) SetStoreLost(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeLost = lost
}

// ForgetRows records that the rows may have changed otherwise than by the nodes' writes.
func (h *BuildHistory) ForgetRows() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pools {
		p.isRead = false
	}
}

// SetRow records what the row of a pool lists.
func (h *BuildHistory) SetRow(now time.Time, l BuildListing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[l.Pool]
	if p == nil {
		return
	}
	listed := make(map[string]time.Time)
	for _, build := range l.Builds {
		at, ok := p.listed[build]
		if !ok && (len(p.listed) > 0 || p.isYoung(now, build)) {
			at = now // else this is the first read, and the version was listed long before
		}
		listed[build] = at
	}
	p.listed, p.rowVersion, p.isRead = listed, l.RowVersion, true
}

// isYoung reports whether a version may have been listed so recently that other nodes do not know of it.
func (p *poolBuilds) isYoung(now time.Time, build string) bool {
	ms, ok := p.startMS[build]
	return ok && now.Sub(time.UnixMilli(ms)) < settledAfter
}

// Unread returns the pools with servers whose rows must be read.
func (h *BuildHistory) Unread(now time.Time) (pools []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.pools {
		if !p.isRead && len(p.firstSeen) > 0 || p.hasUnlisted(now) {
			pools = append(pools, name)
		}
	}
	return pools
}

// Listings returns the rows that should be written: with the versions that have servers, and
// without those that have had none for long.
func (h *BuildHistory) Listings(now time.Time) (list []BuildListing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.pools {
		if !p.isRead {
			continue
		}
		builds := slices.Collect(maps.Keys(p.listed))
		builds = slices.DeleteFunc(builds, func(build string) bool {
			return p.ready[build] == 0 && now.Sub(latest(p.lastSeen[build], p.since)) > unlistAfter
		})
		isSame := len(builds) == len(p.listed)
		for build := range p.ready {
			if !slices.Contains(builds, build) {
				builds, isSame = append(builds, build), false
			}
		}
		if !isSame {
			slices.Sort(builds)
			list = append(list, BuildListing{Pool: name, Builds: builds, RowVersion: p.rowVersion})
		}
	}
	return list
}

// MayBegin reports whether streams may begin at servers of a software version.
func (h *BuildHistory) MayBegin(now time.Time, pool, build string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[pool]
	if p == nil {
		return false
	}
	if p.isUsable(now, build) {
		return true
	}
	first, ok := p.firstSeen[build]
	if ok && now.Sub(first) > listTimeout {
		return true // the store takes no writes; serving goes before being able to resume
	}
	if _, ok := p.listed[build]; !ok {
		return false
	}
	for other, n := range p.ready { // the notice only matters while another version serves
		if n > 0 && p.isUsable(now, other) {
			return false
		}
	}
	return true
}

// isUsable reports whether a version is listed and all nodes had notice of it.
func (p *poolBuilds) isUsable(now time.Time, build string) bool {
	at, ok := p.listed[build]
	return ok && now.Sub(at) >= buildNotice
}

// Known returns what this node knows of the software versions at which streams of a pool can have begun.
func (h *BuildHistory) Known(pool string) KnownBuilds {
	age := time.Duration(0)
	if h.Age != nil {
		age = h.Age()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[pool]
	if p == nil {
		return KnownBuilds{}
	}
	all := maps.Clone(p.firstSeen)
	maps.Copy(all, p.listed)
	return KnownBuilds{
		Builds: slices.Sorted(maps.Keys(all)), IsRead: p.isRead,
		IsCurrent: p.isRead && !h.storeLost && age < buildNotice,
	}
}

// IsMixed reports whether streams of a pool can have begun at several software versions.
func (h *BuildHistory) IsMixed(pool string) bool {
	known := h.Known(pool)
	return len(known.Builds) != 1 || !known.IsCurrent
}

// hasUnlisted reports whether a version is not known to be listed that another node should have
// listed by now.
func (p *poolBuilds) hasUnlisted(now time.Time) bool {
	for build, n := range p.ready {
		if _, ok := p.listed[build]; n > 0 && !ok && now.Sub(p.firstSeen[build]) >= listingTime {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
