package schedule

import "time"

const (
	// Priorities is the number of priorities that requests may have, from 0, the most urgent.
	Priorities = 10
	// untargetedPatience is the patience of a request without a target.
	untargetedPatience = time.Second
)

// Request is what a place knows of a request.
type Request struct {
	Priority  int // 0 is the most urgent; others count as the nearest of [Priorities]
	Account   string
	ArrivedAt time.Time
	Target    time.Time     // of the first part of its response; zero if it has none
	Start     time.Duration // expected time from its turn to the first part of its response
	Work      time.Duration // expected time for which it uses the place
	// HasBegun is set if its caller has the first part of the response.
	HasBegun bool
	// Promoted is set by [Queue.Promote].
	Promoted bool
}

// priority returns the priority within the bounds. A node of an older software version states none.
func (r *Request) priority() int { return min(max(0, r.Priority), Priorities-1) }

// Patience returns how long the request waits behind more urgent ones before it may be promoted.
// A promoted request can still meet its target.
func (r *Request) Patience() time.Duration {
	if r.Target.IsZero() {
		return untargetedPatience
	}
	return max(0, r.Target.Sub(r.ArrivedAt)/2)
}

// isLate reports whether the request can no longer meet its target. One with much work before its
// first part would be late from the beginning; it is not taken for late in the first half of the
// time, so that large requests do not wait behind all others of their kind.
func (r *Request) isLate(now time.Time) bool {
	return !r.Target.IsZero() && now.Add(min(r.Start, r.Patience())).After(r.Target)
}
