package settings

import "time"

// Freshness tells whether a node may rely on its settings. A node that for
// longer than the promise has heard neither the table nor any peer could miss
// a change that was accepted, so it must stop admitting. The zero value is
// stale.
type Freshness struct {
	MaxAge time.Duration

	heard time.Time
}

// RecordContact records that the revision was compared with the table or a peer by a
// call that was sent at sent.
func (f *Freshness) RecordContact(sent time.Time) {
	if sent.After(f.heard) {
		f.heard = sent
	}
}

// Age returns how long ago the node last compared its revision.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.heard) }

// Stale reports whether the node must stop admitting.
func (f *Freshness) Stale(now time.Time) bool {
	return f.heard.IsZero() || f.Age(now) > f.MaxAge
}
