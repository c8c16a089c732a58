package quota

import "time"

// contact is what the keeper knows of one node.
type contact struct {
	heardAt      time.Time // when the node last answered or asked
	promisedTo   time.Time // until then it leaves its own share unused
	usesOwnShare bool
	reserved     float64   // of the bucket, for its own share
	reservedTo   time.Time // the time up to which reserved counts
}

// silentSince returns the time from which the own share of the node must be reserved, once it has
// been silent for longer than the contact time.
func (c *contact) silentSince() time.Time {
	since := c.heardAt
	if c.promisedTo.After(since) {
		since = c.promisedTo
	}
	if c.reservedTo.After(since) {
		since = c.reservedTo
	}
	return since
}

// mustReserve reports whether the node may use its own share.
func (c *contact) mustReserve(now time.Time, contactTime time.Duration) bool {
	return c.usesOwnShare || now.Sub(c.heardAt) > contactTime && now.After(c.promisedTo)
}
