package schedule

import "time"

const (
	// guaranteedShare is the part of its share of the requests that a priority is guaranteed of the
	// grants. No kind may be served less than a quarter as often as all; the rest is for requests
	// that are refused before their turn.
	guaranteedShare = 1.0 / 3
	// rareShare is the part of the grants below which a priority is guaranteed all of its
	// requests. That costs others little, and bounds the wait of each rare request.
	rareShare = 0.005
	// maxTurns bounds the turns that a priority saves up, or has had in advance.
	maxTurns = 4
	// offeredHalfLife is the time after which a request counts half in the shares.
	offeredHalfLife = 10 * time.Second
	// knownRequests is the number of requests of a priority from which it is known how often they
	// are served.
	knownRequests = 5
	// shareInterval is how long computed shares hold.
	shareInterval = 50 * time.Millisecond
)

// turns counts the grants that each priority is owed. The zero value is ready to use.
type turns struct {
	offered [Priorities]decayingSum
	granted [Priorities]decayingSum
	credit  [Priorities]float64

	shares   [Priorities]float64 // guaranteed part of the grants, at sharesAt
	sharesAt time.Time
}

func (t *turns) offer(now time.Time, priority int) {
	if t.offered[priority].set.IsZero() {
		t.credit[priority]++ // otherwise the first of a rare kind would wait until it has grants enough behind it
	}
	t.offered[priority].add(now, offeredHalfLife, 1)
}

// grant records a grant. One in the order of the levels counts as a turn of its priority.
func (t *turns) grant(now time.Time, priority int, promoted bool) {
	t.update(now)
	for p, share := range t.shares {
		t.credit[p] = min(maxTurns, t.credit[p]+share)
	}
	if !promoted {
		t.credit[priority] = max(-maxTurns, t.credit[priority]-1)
	}
	t.granted[priority].add(now, offeredHalfLife, 1)
}

// due returns the number of turns that a priority is owed.
func (t *turns) due(priority int) int { return max(0, int(t.credit[priority])) }

// take uses up a turn.
func (t *turns) take(priority int) { t.credit[priority]-- }

// share returns the part of the grants that a priority is guaranteed.
func (t *turns) share(now time.Time, priority int) float64 {
	t.update(now)
	return t.shares[priority]
}

// update computes the guaranteed shares: a third of the priority's part of the requests, and more if
// less urgent ones, which may wait longer for a place, are served more often than that.
func (t *turns) update(now time.Time) {
	if !t.sharesAt.IsZero() && now.Sub(t.sharesAt) < shareInterval {
		return
	}
	t.sharesAt = now
	var offered, granted [Priorities]float64
	var allOffered, allGranted float64
	for p := range offered {
		offered[p], granted[p] = t.offered[p].at(now, offeredHalfLife), t.granted[p].at(now, offeredHalfLife)
		allOffered += offered[p]
		allGranted += granted[p]
	}
	factor := guaranteedShare
	for p := Priorities - 1; p >= 0; p-- {
		t.shares[p] = 0
		if allOffered > 0 {
			part := offered[p] / allOffered
			t.shares[p] = max(factor*part, min(rareShare, offered[p]/max(1, allGranted)))
		}
		if offered[p] >= knownRequests && allGranted > 0 {
			factor = max(factor, min(1, granted[p]/offered[p]*allOffered/allGranted))
		}
	}
}
