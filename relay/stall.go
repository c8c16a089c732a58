package relay

import (
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

const (
	// minStall is the shortest time without an event that is a stall. A packet that is
	// lost and sent again takes that long.
	minStall = 400 * time.Millisecond
	// leaveMargin is how much later than its caller, which may be late to leave, a stalled
	// stream ends that cannot go on elsewhere.
	leaveMargin = 500 * time.Millisecond
)

// stallAction is what to do about a stream that may have stalled.
type stallAction int

const (
	goOn       stallAction = iota
	findServer             // for the stream to go on there
	endStream
)

// streamProgress decides whether the stream of one attempt has stalled. Only events with
// content are progress.
type streamProgress struct {
	// usualTime returns the server's usual time to the first event, or between two, if
	// it is known.
	usualTime     func(isFirst bool) (time.Duration, bool)
	firstAim      time.Duration // target for the time to the first event
	gapAim        time.Duration // target for the time between two events
	callerTimeout time.Duration // time without an event after which callers leave

	lastAt     time.Time // last progress: when the request was sent, or the last event
	lastID     string    // ID of the last event
	events     int
	searchedAt time.Duration // time without an event at the last search for a server
}

// add records an event, and returns the time since the one before. It is no progress if
// it comes a second time.
func (p *streamProgress) add(now time.Time, ev streamEvent) (gap time.Duration, ok bool) {
	if !ev.hasContent || !ev.isAfter(p.lastID) {
		return 0, false
	}
	gap = now.Sub(p.lastAt)
	p.lastAt, p.searchedAt = now, 0
	p.events++
	if ev.id != "" {
		p.lastID = ev.id
	}
	return gap, true
}

// limits returns the times without an event after which the stream should go on at
// another server, and after which it ends in any case. Before that, the aim is missed and
// the wait is a multiple of the server's own usual one.
func (p *streamProgress) limits() (search, end time.Duration) {
	aim := p.gapAim
	if p.events == 0 {
		aim = p.firstAim
	}
	end = p.callerTimeout + leaveMargin
	usual, ok := p.usualTime(p.events == 0)
	if !ok {
		return max(aim, p.callerTimeout), end
	}
	return max(aim, minStall, backend.StallFactor*usual), max(end, backend.StallFactor*usual)
}

// check returns what to do, and after which time to check again, or by when to have found
// a server.
func (p *streamProgress) check(now time.Time, canSearch bool) (act stallAction, next time.Duration) {
	waited := now.Sub(p.lastAt)
	search, end := p.limits()
	if p.searchedAt > 0 {
		search = max(search, p.searchedAt+minStall)
	}
	switch {
	case waited >= end:
		return endStream, 0
	case canSearch && waited >= search:
		p.searchedAt = waited
		return findServer, end - waited
	case canSearch:
		return goOn, min(search, end) - waited
	}
	return goOn, end - waited
}
