package schedule

import "time"

const (
	// guaranteedShare is the part of its share of the requests that a priority is guaranteed of the
	// grants. No kind may be served less than a quarter as often as all; the rest is for requests
	// that are refused before their turn.
	guaranteedShare = 1.0 / 3
	// maxTurns bounds the turns that a priority saves up.
	maxTurns = 4
	// offeredHalfLife is the time after which a request counts half in the shares.
	offeredHalfLife = 10 * time.Second
)

// turns counts the grants that each priority is owed. The zero value is ready to use.
type turns struct {
	offered [Priorities]decayingSum
	total   decayingSum
	credit  [Priorities]float64
}

func (t *turns) offer(now time.Time, priority int) {
	t.offered[priority].add(now, offeredHalfLife, 1)
	t.total.add(now, offeredHalfLife, 1)
}

// share returns the part of the grants that a priority is guaranteed.
func (t *turns) share(now time.Time, priority int) float64 {
	total := t.total.at(now, offeredHalfLife)
	if total <= 0 {
		return guaranteedShare
	}
	return guaranteedShare * t.offered[priority].at(now, offeredHalfLife) / total
}

// grant records a grant. One in the order of the levels counts as a turn of its priority.
func (t *turns) grant(now time.Time, priority int, promoted bool) {
	for p := range t.credit {
		t.credit[p] = min(maxTurns, t.credit[p]+t.share(now, p))
	}
	if !promoted {
		t.credit[priority] = max(0, t.credit[priority]-1)
	}
}

// due returns the number of turns that a priority is owed.
func (t *turns) due(priority int) int { return int(t.credit[priority]) }

// take uses up a turn.
func (t *turns) take(priority int) { t.credit[priority]-- }
