package table

import "time"

// Lease is the holder's side of a session. It is valid for TTL less Margin on the
// holder's clock, counted from the time just before a confirmed renewal was sent, so
// that a slow response shortens the lease and never lengthens it. The clock must go on
// while the holder's VM is suspended.
// The zero value is a lease that is not held.
type Lease struct {
	TTL    time.Duration
	Margin time.Duration

	validUntil time.Time
}

// RecordRenewal records that the renewal sent at sentAt was confirmed.
func (l *Lease) RecordRenewal(sentAt time.Time) {
	if validUntil := sentAt.Add(l.TTL - l.Margin); validUntil.After(l.validUntil) {
		l.validUntil = validUntil
	}
}

// Invalidate ends the lease at once.
func (l *Lease) Invalidate() { l.validUntil = time.Time{} }

// Valid reports whether the holder may still act on the lease.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.validUntil) }

// Remaining returns how long the lease stays valid. It is negative once the lease
// has expired.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if l.validUntil.IsZero() {
		return -l.TTL
	}
	return l.validUntil.Sub(now)
}
