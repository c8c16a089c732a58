package settings

import "time"

// Freshness tracks when a node last compared its settings revision with the table or
// a peer. A node whose last comparison is older than MaxAge may miss an accepted
// change, so it must stop admitting requests. The zero value is stale.
type Freshness struct {
	MaxAge time.Duration

	lastContact time.Time
}

// RecordContact records that a call sent at sentAt compared the revision with the
// table or a peer.
func (f *Freshness) RecordContact(sentAt time.Time) {
	if sentAt.After(f.lastContact) {
		f.lastContact = sentAt
	}
}

// Age returns the time since the node last compared its revision.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.lastContact) }

// Stale reports whether the node must stop admitting requests.
func (f *Freshness) Stale(now time.Time) bool {
	return f.lastContact.IsZero() || f.Age(now) > f.MaxAge
}
