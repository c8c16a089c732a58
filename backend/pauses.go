package backend

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPause bounds a pause. A server that needs longer drains or restarts, so a longer
	// time is more likely an error, and must not take the server out for good.
	maxPause = 5 * time.Minute
	// maxPauseSpread bounds the time after the end of a pause over which the requests come
	// that waited for it.
	maxPauseSpread = 500 * time.Millisecond
	// holdShare and spreadShare are the parts of the time until its target that a request
	// may be held until the end of a pause, and after it. The server needs the rest to
	// respond.
	holdShare   = 0.5
	spreadShare = 0.25
)

// Pauses records which servers have asked this node to send them nothing for a time. A
// pause belongs to one incarnation of a server. The zero value has no pauses.
type Pauses struct {
	mu     sync.Mutex // held while a new map is stored
	byName atomic.Pointer[map[string]pause]
}

// pause is immutable.
type pause struct {
	id, address string
	start, end  time.Time
	// noTurnUntil is when the server may have room within its limit for a request of this
	// node. Requests that have their turn are sent before.
	noTurnUntil time.Time
}

// until returns when new requests may be sent.
func (p pause) until() time.Time {
	if p.noTurnUntil.After(p.end) {
		return p.noTurnUntil
	}
	return p.end
}

// Pause records that a server wants no requests for d from now on. It never shortens a
// pause. It reports whether the server had no pause before.
func (p *Pauses) Pause(now time.Time, s *Server, d time.Duration) (isNew bool) {
	if d <= 0 {
		return false
	}
	end := now.Add(min(d, maxPause))
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.copy(now)
	old := next[s.Incarnation()]
	isNew = !old.end.After(now)
	if isNew {
		old = pause{id: s.ID, address: s.Address, start: now, noTurnUntil: old.noTurnUntil}
	}
	if end.After(old.end) {
		old.end = end
	}
	next[s.Incarnation()] = old
	p.byName.Store(&next)
	return isNew
}

// DelayTurn records that the limit of a server has no room for another request of this node
// before d has passed.
func (p *Pauses) DelayTurn(now time.Time, s *Server, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.copy(now)
	old := next[s.Incarnation()]
	old.id, old.address, old.noTurnUntil = s.ID, s.Address, now.Add(d)
	next[s.Incarnation()] = old
	p.byName.Store(&next)
}

// copy returns a copy of the map without what has ended. p.mu must be held.
func (p *Pauses) copy(now time.Time) map[string]pause {
	next := maps.Clone(p.all())
	if next == nil {
		next = make(map[string]pause)
	}
	maps.DeleteFunc(next, func(_ string, old pause) bool { return now.Sub(old.until()) > failureTTL })
	return next
}

// all returns the map of pauses by incarnation, which must not be modified.
func (p *Pauses) all() map[string]pause {
	if m := p.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// Left returns how long the server's pause still lasts, or 0.
func (p *Pauses) Left(now time.Time, s *Server) time.Duration {
	m := p.all()
	if len(m) == 0 {
		return 0
	}
	return max(0, m[s.Incarnation()].end.Sub(now))
}

// IsOpen reports whether new requests may be sent to a server: it has no pause, and its limit
// may have room for one.
func (p *Pauses) IsOpen(now time.Time, s *Server) bool {
	m := p.all()
	return len(m) == 0 || !m[s.Incarnation()].until().After(now)
}

// IsPaused reports whether the server at an address has a pause. The argument find returns
// the current incarnation of a server; the pause of an earlier one does not count.
func (p *Pauses) IsPaused(now time.Time, address string, find func(id string) (*Server, bool)) bool {
	for name, old := range p.all() {
		if old.address != address || !old.end.After(now) {
			continue
		}
		if s, ok := find(old.id); ok && s.Incarnation() == name {
			return true
		}
	}
	return false
}

// Wait returns the time until one of the servers accepts requests again. It is 0 unless
// all servers that are neither draining nor excluded have a pause, or no room within their
// limits. The requests that wait for that should be spread over the time spread after it.
func (p *Pauses) Wait(now time.Time, servers []*Server, excluded func(s *Server) bool) (left, spread time.Duration) {
	m := p.all()
	if len(m) == 0 {
		return 0, 0
	}
	var start, end time.Time
	for _, s := range servers {
		if s.Draining || excluded(s) {
			continue
		}
		next := m[s.Incarnation()]
		if !next.until().After(now) {
			return 0, 0
		}
		if end.IsZero() || next.until().Before(end) {
			start, end = next.start, next.until()
			if !next.end.After(now) {
				start = now
			}
		}
	}
	if end.IsZero() {
		return 0, 0
	}
	return end.Sub(now), min(maxPauseSpread, end.Sub(start)/2)
}

// HoldTime returns how long to hold a request for a wait that [Pauses.Wait] returned, if
// the request is to be answered within timeLeft. If the pause ends too late for that, ok
// is false, and the request should be rejected. Held, a request needs no new connection and
// none of the caller's few retries. After a longer wait the server has no time to respond,
// while another node may have a server for the caller at once.
func HoldTime(left, spread, timeLeft time.Duration) (d time.Duration, ok bool) {
	if left > time.Duration(holdShare*float64(timeLeft)) {
		return 0, false
	}
	return left + Jitter(min(spread, time.Duration(spreadShare*float64(timeLeft)))), true
}

// Jitter returns a random time less than d.
func Jitter(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }

// recovery returns 1 at the end of a server's pause. It decreases to 0 within failureTTL.
func (p *Pauses) recovery(now time.Time, s *Server) float64 {
	m := p.all()
	if len(m) == 0 {
		return 0
	}
	old, ok := m[s.Incarnation()]
	if !ok {
		return 0
	}
	return min(1, max(0, 1-float64(now.Sub(old.end))/float64(failureTTL)))
}
