package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

const (
	// refusalMemory is how long a refusal of urgent work shows that the engine has no place for less
	// urgent work beyond the share that its priority is guaranteed.
	refusalMemory = 500 * time.Millisecond
	// longestWait bounds an expected wait, which a share near 0 would make infinite.
	longestWait = time.Hour
	// maxHold bounds how long a refusal holds for like work.
	maxHold = 250 * time.Millisecond
)

// displacedWork returns the waiting work that would begin too late behind all that goes before it.
// That is more than was expected when it was queued if more urgent work has arrived since.
func (s *Scheduler) displacedWork(now time.Time) (displaced []*Work) {
	ordered := make([]*Work, 0, len(s.waiting))
	for _, w := range s.waiting {
		ordered = append(ordered, w)
	}
	slices.SortFunc(ordered, func(a, b *Work) int { return cmp.Compare(a.key, b.key) })
	var ahead time.Duration
	var own [schedule.Priorities]time.Duration // by priority
	for _, w := range ordered {
		p := min(max(0, w.Priority), schedule.Priorities-1)
		wait := min(ahead/time.Duration(s.cfg.BatchSize), s.guaranteedWait(now, w, own[p]))
		if !w.Resumed && w.missesDeadline(now, wait) {
			displaced = append(displaced, w)
			s.cost.refusedAt[w.level] = now
			continue // what comes after it does not wait for it
		}
		ahead += w.serviceTime
		own[p] += w.serviceTime
	}
	return displaced
}

// guaranteedWait returns the wait until the turn of work that gets only the guaranteed share of its
// priority, behind a backlog of that.
func (s *Scheduler) guaranteedWait(now time.Time, w *Work, backlog time.Duration) time.Duration {
	turn := longestWait.Seconds()
	if share := s.cost.queue.GuaranteedShare(now, &w.request); share > 0 {
		turn = min(turn, (backlog+w.serviceTime).Seconds()/float64(s.cfg.BatchSize)/share)
	}
	return max(0, w.request.Patience()-now.Sub(w.arrivedAt)) + time.Duration(turn*float64(time.Second))
}

// workWait returns the expected wait of new or waiting work. By cost, it waits for the work of its
// level and of more urgent ones, or until the turn that its priority is guaranteed.
func (s *Scheduler) workWait(now time.Time, a *adapter, w *Work) time.Duration {
	if s.cost == nil {
		return s.expectedWait(now, a, w.Short)
	}
	var ahead time.Duration
	for _, b := range s.cost.backlog[:w.level+1] {
		ahead += b
	}
	wait := s.waitBehind(now, a, w.Short, ahead, func(time.Time) int { return s.loadsAheadOf(w) })
	guaranteed := s.guaranteedWait(now, w, s.cost.backlog[w.level])
	if a.state != loaded {
		guaranteed += s.loadTime
	}
	if s.isOutranked(now, w) {
		return max(wait, guaranteed)
	}
	return min(wait, max(guaranteed, s.waitBehind(now, a, w.Short, 0, func(time.Time) int { return 0 })))
}

// recordRefusal records that work was refused for its wait. Work that would be refused without any
// wait tells nothing of the engine.
func (s *Scheduler) recordRefusal(now time.Time, w *Work) {
	if s.cost != nil && !w.missesDeadline(now, 0) {
		s.cost.refusedAt[w.level] = now
	}
}

// isOutranked reports whether more urgent work was refused just now, so that this work should be
// admitted only within the guaranteed share of its priority.
func (s *Scheduler) isOutranked(now time.Time, w *Work) bool {
	for _, at := range s.cost.refusedAt[:w.level] {
		if !at.IsZero() && now.Sub(at) < refusalMemory {
			return !w.Resumed
		}
	}
	return false
}

// loadsAheadOf returns the number of loads that precede the load for work.
func (s *Scheduler) loadsAheadOf(w *Work) int {
	n := 0
	for a := range s.cold {
		if a.waiting[0].key <= w.key {
			n++
		}
	}
	return n
}

// meetsTarget reports whether work would meet its target if it started after the given wait. By
// cost, work whose prompt takes long counts as if that took half of the time, as otherwise an
// overloaded engine would refuse all of it.
func (s *Scheduler) meetsTarget(now time.Time, w *Work, wait time.Duration) bool {
	if s.cost == nil {
		return w.meetsTarget(now, wait)
	}
	return !w.FirstTokenTarget.IsZero() && !now.Add(wait+min(w.prefill, w.request.Patience())).After(w.FirstTokenTarget)
}

// displacedBy returns the waiting work that new work displaces from a full queue, or nil: the one that
// costs callers least, if the new one costs more.
func (s *Scheduler) displacedBy(w *Work) *Work {
	if s.cost == nil || len(s.waiting) < s.cfg.MaxQueue {
		return nil
	}
	var last *Work
	for _, a := range s.resident {
		last = a.waiting.later(last)
	}
	for a := range s.cold {
		last = a.waiting.later(last)
	}
	if last == nil || last.Resumed || last.key <= w.key {
		return nil // the keys of resumed work are the lowest
	}
	return last
}

// later returns the work with the highest key of the heap and the given one, which may be nil. It is
// one of the leaves of the heap.
func (h workHeap) later(last *Work) *Work {
	for _, w := range h[len(h)/2:] {
		if last == nil || w.key > last.key {
			last = w
		}
	}
	return last
}

// setHold sets how long a refusal of new work holds for like work: until the queue may have become
// shorter by as much as it is too long. A refusal that depends on the adapter, or on the work alone,
// does not hold.
func (s *Scheduler) setHold(now time.Time, act *Action) {
	w := act.Work
	if s.cost == nil || w.Resumed || w.missesDeadline(now, 0) {
		return
	}
	act.IsOverShare = s.cost.queue.IsOverShare(now, w.Account)
	switch act.Reason {
	case QueueFull:
		act.Hold = min(maxHold, act.RetryAfter)
	case DeadlineUnmet:
		wait := s.workWait(now, &adapter{state: loaded}, w)
		isOverloaded := now.Sub(*s.normalWait(w)) > overloadAfter
		for act.Hold < maxHold && (w.missesDeadline(now, wait-act.Hold) || isOverloaded && !s.meetsTarget(now, w, wait-act.Hold)) {
			act.Hold += maxHold / 10
		}
	}
}
