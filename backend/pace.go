package backend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// paceSamples is the number of measured times that are kept of each kind.
	paceSamples = 32
	// minPaceSamples is the number of measured times from which a pace is known.
	minPaceSamples = 8
	// paceRank is the rank of the sample that is the pace: a few long waits do not change
	// it, and neither do events that arrive together.
	paceRank = 0.9
	// StallFactor is how many times the usual time of its server a stream may go without an
	// event with content. Sound streams at a tenth of the usual pace go on.
	StallFactor = 20
	// paceTTL is how long the paces of an incarnation are kept after its last stream.
	paceTTL = 10 * time.Minute
)

// Paces holds the pace of each incarnation of a server. The zero value is ready to use.
type Paces struct {
	mu     sync.Mutex
	byName map[string]*Pace
}

// Of returns the pace of a server, to which a stream's times are added.
func (p *Paces) Of(now time.Time, s *Server) *Pace {
	name := s.Incarnation()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = make(map[string]*Pace)
	}
	pace := p.byName[name]
	if pace == nil {
		maps.DeleteFunc(p.byName, func(_ string, old *Pace) bool { return now.Sub(old.usedAt) > paceTTL })
		pace = &Pace{}
		p.byName[name] = pace
	}
	pace.usedAt = now
	return pace
}

// UsualTime returns the usual time to the first event, or between two events if isFirst is
// false, of a server with the given pace. If that is unknown, it is the longest one of the
// servers of its pool whose pace is known.
func (p *Paces) UsualTime(pace *Pace, pool func() []*Server, isFirst bool, promptTokens int) (d time.Duration, ok bool) {
	if d, ok := pace.Time(isFirst, promptTokens); ok {
		return d, true
	}
	return p.slowest(pool(), isFirst, promptTokens)
}

// slowest returns the longest time to the first event, or between two events if isFirst
// is false, of the servers whose pace is known.
func (p *Paces) slowest(servers []*Server, isFirst bool, promptTokens int) (d time.Duration, ok bool) {
	for _, s := range servers {
		p.mu.Lock()
		pace := p.byName[s.Incarnation()]
		p.mu.Unlock()
		if pace == nil {
			continue
		}
		if t, known := pace.Time(isFirst, promptTokens); known {
			d, ok = max(d, t), true
		}
	}
	return d, ok
}

// Pace measures how long a server takes to the first event of a stream, and from one
// event to the next.
type Pace struct {
	usedAt time.Time // guarded by the mutex of Paces

	mu     sync.Mutex
	firsts paceTimes
	gaps   paceTimes
}

// Observe adds a measured time: to the first event, or between two events.
func (p *Pace) Observe(isFirst bool, promptTokens int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isFirst {
		p.firsts.add(paceTime{d, max(1, promptTokens)})
		return
	}
	p.gaps.add(paceTime{d, 1})
}

// Time returns the usual time to the first event for a prompt, or between two events. It
// is unknown before enough times were measured.
func (p *Pace) Time(isFirst bool, promptTokens int) (d time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isFirst {
		return p.firsts.usual(max(1, promptTokens))
	}
	return p.gaps.usual(1)
}

// paceTime is a measured time, and the length of the prompt in tokens.
type paceTime struct {
	d      time.Duration
	tokens int
}

// paceTimes is a ring of the last times.
type paceTimes struct {
	list []paceTime
	next int
}

func (t *paceTimes) add(s paceTime) {
	if len(t.list) < paceSamples {
		t.list = append(t.list, s)
		return
	}
	t.list[t.next] = s
	t.next = (t.next + 1) % paceSamples
}

// usual returns the time of rank paceRank. The times of shorter prompts count in
// proportion to the length, which is too long rather than too short, since a part of each
// time does not depend on it.
func (t *paceTimes) usual(tokens int) (time.Duration, bool) {
	if len(t.list) < minPaceSamples {
		return 0, false
	}
	times := make([]time.Duration, len(t.list))
	for i, s := range t.list {
		times[i] = s.d
		if tokens > s.tokens {
			times[i] = time.Duration(float64(s.d) * float64(tokens) / float64(s.tokens))
		}
	}
	slices.Sort(times)
	return times[int(paceRank*float64(len(times)))], true
}
