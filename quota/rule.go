package quota

import "time"

const (
	// leasePart is the part of the excess that a window may hold which outstanding leases take, and
	// contactPart the part of own shares before the keeper reserves them. The rest is left for
	// requests that cost more than a burst.
	leasePart   = 0.7
	contactPart = 0.25

	minLeaseTime   = 100 * time.Millisecond
	maxLeaseTime   = 3 * time.Second
	minContactTime = 100 * time.Millisecond
	maxContactTime = 2 * time.Second
)

// Limit is the quota of an account. The zero value has no limit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// capacity returns the most that a bucket holds. Without a burst it is what accumulates in the
// shortest lease time, since nothing could be granted from an empty bucket.
func (l Limit) capacity() float64 {
	return max(l.Burst, l.PerSecond*minLeaseTime.Seconds())
}

// share returns a node's own share of the limit, of which all nodes together have half.
func (l Limit) share(nodes int) Limit {
	f := 1 / float64(2*max(1, nodes))
	return Limit{l.PerSecond * f, l.Burst * f}
}

// Rule bounds what an account may use in every window. The zero value allows no excess, and
// leases then are as short as possible.
type Rule struct {
	Window  time.Duration
	Overage float64 // part of the regular amount of a window
	Slack   float64 // amount per window
}

// Regular returns what the limit itself allows in a window.
func (r Rule) Regular(l Limit) float64 { return l.PerSecond*r.Window.Seconds() + l.Burst }

// Excess returns what may be used in a window beyond the regular amount.
func (r Rule) Excess(l Limit) float64 { return r.Overage*r.Regular(l) + r.Slack }

// LeaseTime returns how long a lease is valid.
func (r Rule) LeaseTime(l Limit) time.Duration {
	return r.timeFor(leasePart, l.PerSecond, l, minLeaseTime, maxLeaseTime)
}

// ContactTime returns how long a node may be silent before the keeper reserves its own share.
func (r Rule) ContactTime(l Limit) time.Duration {
	return r.timeFor(contactPart, l.PerSecond/2, l, minContactTime, maxContactTime)
}

// timeFor returns how long an amount may be used at a rate until a part of the excess is used.
func (r Rule) timeFor(part, rate float64, l Limit, low, high time.Duration) time.Duration {
	if rate <= 0 {
		return high
	}
	s := part * r.Excess(l) / rate
	return max(low, time.Duration(min(s, high.Seconds())*float64(time.Second)))
}

// IsSmall reports whether two keepers at once, all own shares and all outstanding leases together stay
// within the rule.
func (r Rule) IsSmall(l Limit) bool {
	return 1.5*r.Regular(l)+l.PerSecond*r.LeaseTime(l).Seconds() <= r.Excess(l)
}
