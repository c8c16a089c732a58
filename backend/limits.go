package backend

import (
	"sync"
	"time"
)

const (
	// unreadableLimit is the limit, in requests a second, of a server whose statement of it
	// cannot be read, and of which none is known.
	unreadableLimit = 1
	// limitTTL is how long a limit holds of which nothing was heard.
	limitTTL = 10 * time.Minute
	// endedLimitTTL is how long the end of a limit is remembered, so that nodes that hear of it
	// do not take up an older statement again.
	endedLimitTTL = time.Minute
)

// Limit is what is known of the number of requests that one incarnation of a server takes
// from all nodes together.
type Limit struct {
	StartMS   int64 // start of the incarnation
	Limited   bool
	PerSecond float64   // if Limited is set
	At        time.Time // the server stated it at this time or later
}

// Limits records the limits that servers have stated, by server ID. The zero value has none.
type Limits struct {
	mu   sync.Mutex
	byID map[string]Limit
}

// Observe records what a response of a server states of its limit. It was sent between the
// times sent, when the request was, and received. A response without a limit ends one only
// if it is certainly the later of the two. Observe reports whether the limit has changed, and
// to what.
func (l *Limits) Observe(sent, received time.Time, s *Server, a Asks) (next Limit, changed bool) {
	next = Limit{StartMS: s.StartMS, Limited: a.Limited, PerSecond: a.PerSecond, At: sent}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byID[s.ID]
	if a.LimitErr != nil {
		next.Limited, next.PerSecond = true, unreadableLimit
		if old.Limited && old.StartMS == s.StartMS {
			next.PerSecond = old.PerSecond
		}
	}
	if next.Limited {
		next.At = received
	} else if !old.Limited && old.StartMS == s.StartMS {
		return old, false
	}
	return next, l.merge(s.ID, next, received)
}

// Merge records what another node knows, and reports whether the limit has changed.
func (l *Limits) Merge(now time.Time, id string, next Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge(id, next, now)
}

// merge records a statement unless a later one is known. l.mu must be held.
func (l *Limits) merge(id string, next Limit, now time.Time) (changed bool) {
	old, ok := l.byID[id]
	if ok && (next.StartMS < old.StartMS || next.StartMS == old.StartMS && !next.At.After(old.At)) {
		return false
	}
	if !ok && !next.Limited {
		return false
	}
	if l.byID == nil {
		l.byID = make(map[string]Limit)
	}
	l.byID[id] = next
	for id, old := range l.byID {
		if ttl := now.Sub(old.At); ttl > limitTTL || !old.Limited && ttl > endedLimitTTL {
			delete(l.byID, id)
		}
	}
	return next.Limited != old.Limited || next.Limited && (next.StartMS != old.StartMS || next.PerSecond != old.PerSecond)
}

// Get returns what is known of the limit of a server.
func (l *Limits) Get(id string) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.byID[id]
	return known, ok
}

// IsLimited reports whether an incarnation of a server has a limit.
func (l *Limits) IsLimited(s *Server) bool {
	known, ok := l.Get(s.ID)
	return ok && known.Limited && known.StartMS == s.StartMS
}
