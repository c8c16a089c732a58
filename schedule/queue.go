package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateLevels is how many levels a request that can no longer meet its target goes down. It
	// then waits behind those of its own and of the next priority that can. It goes before those of
	// the priority after the next: otherwise a kind whose targets are short would be served less
	// often than a less urgent one whose targets are long.
	lateLevels = 1.5
	// overShareLevels is how many levels a request of an account above its share goes down: behind
	// all requests of accounts of the same priority that can meet their targets.
	overShareLevels = 3
	// begunLevel and promotedLevel are before those of all other requests.
	begunLevel    = -1
	promotedLevel = -0.05
	// Levels is the number of whole levels.
	Levels = Priorities + 5
	// levelKey is the difference of the keys of two levels. It exceeds any time in seconds between
	// two targets.
	levelKey = 1e8
)

// Queue orders the requests that wait at one place, and remembers what it needs for that of those
// that were offered and served. The zero value is ready to use.
type Queue struct {
	origin   time.Time // reference time of the keys
	accounts accounts
	turns    turns
}

// Offer records a request that arrives, whether or not it is refused.
func (q *Queue) Offer(now time.Time, r *Request) { q.turns.offer(now, r.priority()) }

// Level returns the level of a request; lower ones go first.
func (q *Queue) Level(now time.Time, r *Request) float64 {
	level := float64(r.priority())
	switch {
	case r.HasBegun:
		return begunLevel + level/Priorities
	case r.Promoted:
		return promotedLevel
	case r.isLate(now):
		level += lateLevels
	}
	if q.accounts.isOverShare(now, r.Account) {
		level += overShareLevels
	}
	return level
}

// LevelIndex returns the whole level, from 0 to [Levels] - 1, that a level belongs to.
func LevelIndex(level float64) int { return min(max(0, int(math.Ceil(level))), Levels-1) }

// Key returns the key of a request at a level. Of two requests that wait, the one with the lower
// key goes first: by level, and then by target, or by arrival without one.
func (q *Queue) Key(now time.Time, r *Request, level float64) float64 {
	if q.origin.IsZero() {
		q.origin = now
	}
	due := r.Target
	if due.IsZero() {
		due = r.ArrivedAt.Add(2 * untargetedPatience)
	}
	return level*levelKey + due.Sub(q.origin).Seconds()
}

// Grant records a request that leaves the queue to run.
func (q *Queue) Grant(now time.Time, r *Request) {
	q.turns.grant(now, r.priority(), r.Promoted)
	q.accounts.charge(now, r.Account, 1, r.Work)
}

// Finish records for how long a request has run. Expected lengths are often far off, so the share
// of its account counts what it took.
func (q *Queue) Finish(now time.Time, r *Request, took time.Duration) {
	q.accounts.charge(now, r.Account, 0, took-r.Work)
}

// Promote gives waiting requests their turns: it promotes the oldest of each priority that is
// served less than its guaranteed share, once they have waited for their patience. It bounds the
// wait of a priority however much more urgent work there is.
func (q *Queue) Promote(now time.Time, waiting []*Request) {
	var candidates [Priorities][]*Request
	for _, r := range waiting {
		if p := r.priority(); q.turns.due(p) > 0 && !r.Promoted && !r.HasBegun && now.Sub(r.ArrivedAt) >= r.Patience() {
			candidates[p] = append(candidates[p], r)
		}
	}
	for p, list := range candidates {
		slices.SortFunc(list, func(a, b *Request) int {
			return cmp.Or(q.compareShares(now, a, b), a.ArrivedAt.Compare(b.ArrivedAt))
		})
		for _, r := range list[:min(q.turns.due(p), len(list))] {
			r.Promoted = true
			q.turns.take(p)
		}
	}
}

// compareShares puts requests of accounts above their share last.
func (q *Queue) compareShares(now time.Time, a, b *Request) int {
	over := func(r *Request) int {
		if q.accounts.isOverShare(now, r.Account) {
			return 1
		}
		return 0
	}
	return cmp.Compare(over(a), over(b))
}

// GuaranteedShare returns the least part of the grants that requests of a priority get while they
// wait, at most 1.
func (q *Queue) GuaranteedShare(now time.Time, r *Request) float64 {
	return q.turns.share(now, r.priority())
}

// IsOverShare reports whether an account uses more than its share.
func (q *Queue) IsOverShare(now time.Time, account string) bool {
	return q.accounts.isOverShare(now, account)
}
