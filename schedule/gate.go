package schedule

import (
	"slices"
	"time"
)

const (
	// urgentTime is the time left until the target up to which a request counts as urgent within its
	// priority. One with more can come back later without being late.
	urgentTime = time.Second
	// gateHalfLife is the time after which work counts half in what a gate was offered.
	gateHalfLife = time.Second
	// leastOffered is the work of a class from which it counts as offered.
	leastOffered = 0.5
	// gateClasses is the number of classes of a gate: those with little and with much time left of
	// each priority.
	gateClasses = 2 * Priorities
)

// GateRequest is what a [Gate] knows of a request.
type GateRequest struct {
	Priority int           // as in [Request]
	TimeLeft time.Duration // until the target; 0 if there is none
	Work     float64       // expected, in any unit; 0 counts as 1
	HasBegun bool          // as in [Request]
}

// class returns the class of the request; lower ones are admitted first.
func (r *GateRequest) class() int {
	if r.HasBegun {
		return 0
	}
	c := 2 * min(max(0, r.Priority), Priorities-1)
	if r.TimeLeft <= 0 || r.TimeLeft > urgentTime {
		c++
	}
	return c
}

// Gate admits a part of the work that a place is offered, where requests do not wait. The parts of the
// classes are those of [Shares]. The admitted work of a class differs from its part by at most
// the work of one request, and the chance of a request does not depend on its size. The zero value
// is ready to use.
type Gate struct {
	offered [gateClasses]decayingSum
	credit  [gateClasses]float64
}

// Admits reports whether a request is admitted, given the part of all work to admit, from 0 to 1.
func (g *Gate) Admits(now time.Time, r GateRequest, part float64) bool {
	return g.admits(now, r, part, false)
}

// AdmitsBehind is like Admits, but admits all requests of the most urgent class that is offered. So it
// rejects nothing where all requests are of one class.
func (g *Gate) AdmitsBehind(now time.Time, r GateRequest, part float64) bool {
	return g.admits(now, r, part, true)
}

func (g *Gate) admits(now time.Time, r GateRequest, part float64, allUrgent bool) bool {
	c, work := r.class(), r.Work
	if work <= 0 {
		work = 1
	}
	g.offered[c].add(now, gateHalfLife, work)
	if part >= 1 {
		g.credit[c] = 0
		return true
	}
	var offered [gateClasses]float64
	for i := range offered {
		offered[i] = g.offered[i].at(now, gateHalfLife)
	}
	if allUrgent && c <= slices.IndexFunc(offered[:], func(o float64) bool { return o >= leastOffered }) {
		return true
	}
	share := Shares(offered[:], part)[c]
	if share <= 0 || g.credit[c] < 0 {
		g.credit[c] += share * work
		return false
	}
	g.credit[c] -= (1 - share) * work
	return true
}
