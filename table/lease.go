package table

import "time"

// Lease is the holder's side of a session. The holder trusts it for TTL less
// Margin, counted on its own monotonic clock from the instant before a
// confirmed renewal was sent, so that a slow answer shortens the lease and
// never lengthens it. The zero value is a lease that is not held.
type Lease struct {
	TTL    time.Duration
	Margin time.Duration

	until time.Time
}

// RecordRenewal records that the renewal sent at sent was confirmed.
func (l *Lease) RecordRenewal(sent time.Time) {
	if until := sent.Add(l.TTL - l.Margin); until.After(l.until) {
		l.until = until
	}
}

// Invalidate drops the lease at once.
func (l *Lease) Invalidate() { l.until = time.Time{} }

// Valid reports whether the holder may still act on the lease.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.until) }

// Remaining returns how long the lease stays valid; it is negative once it lapsed.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if l.until.IsZero() {
		return -l.TTL
	}
	return l.until.Sub(now)
}
