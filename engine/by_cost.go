package engine

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

const (
	// refusalMemory is how long a refusal of urgent work shows that the engine has no place for less
	// urgent work beyond the share that its priority is guaranteed.
	refusalMemory = 500 * time.Millisecond
	// demandLeadSeconds is by how much the load of an adapter may overtake loads of its level for each
	// request that waits for it: loads and slots are what Lakeshore's engines lack, and one serves all of
	// these requests.
	demandLeadSeconds = 0.3
	// longestWait bounds an expected wait, which a share near 0 would make infinite.
	longestWait = time.Hour
	// memoryShare is the part of the engine's memory that is used. Some responses are longer than
	// expected, and an engine without memory preempts others.
	memoryShare = 0.9
)

// costOrder is what a scheduler needs to order its queue by cost.
type costOrder struct {
	queue        schedule.Queue
	backlog      [schedule.Levels]time.Duration // expected service times of the waiting work by level
	normalWaitAt [schedule.Levels]time.Time     // when new work of a level last had a normal wait
	refusedAt    [schedule.Levels]time.Time     // when work of a level was last refused for the wait
}

// SetByCost changes whether the queue is ordered by cost. The waiting work is ordered again.
func (s *Scheduler) SetByCost(now time.Time, byCost bool) []Action {
	if byCost == (s.cost != nil) {
		return nil
	}
	s.cost = nil
	if byCost {
		s.cost = &costOrder{}
	}
	s.backlog = 0
	for _, a := range s.adapters {
		for _, w := range a.waiting {
			s.setKey(now, a, w)
			s.addBacklog(w)
		}
		heap.Init(&a.waiting)
	}
	return s.dispatch(now, nil)
}

// IsByCost reports whether the queue is ordered by cost.
func (s *Scheduler) IsByCost() bool { return s.cost != nil }

// costRequest returns what [schedule.Queue] needs to know of work for an adapter.
func (s *Scheduler) costRequest(a *adapter, w *Work) *schedule.Request {
	r := &w.request
	start := w.prefill
	if a.state != loaded {
		start += s.cfg.LoadTime + s.cfg.LoadTime/targetMarginDivisor
	}
	*r = schedule.Request{
		Priority: w.Priority, Account: w.Account, ArrivedAt: w.arrivedAt, Target: w.FirstTokenTarget,
		Start: start, Work: w.serviceTime, HasBegun: w.Resumed, Promoted: r.Promoted,
	}
	return r
}

// setCostKey sets the key and the level of work.
func (s *Scheduler) setCostKey(now time.Time, a *adapter, w *Work) {
	r := s.costRequest(a, w)
	level := s.cost.queue.Level(now, r)
	w.key, w.level = s.cost.queue.Key(now, r, level), schedule.LevelIndex(level)
}

// updateKeys updates the keys of the work that waits for an adapter, by cost.
func (s *Scheduler) updateKeys(now time.Time, a *adapter) {
	if s.cost == nil || len(a.waiting) == 0 {
		return
	}
	for _, w := range a.waiting {
		s.removeBacklog(w)
		s.setCostKey(now, a, w)
		s.addBacklog(w)
	}
	heap.Init(&a.waiting)
}

// reorder brings the order by cost up to date: it gives turns to priorities that are served less than
// their guaranteed share, and refuses the work whose turn comes too late.
func (s *Scheduler) reorder(now time.Time, acts []Action) []Action {
	if s.cost == nil || len(s.waiting) == 0 {
		return acts
	}
	requests := make([]*schedule.Request, 0, len(s.waiting))
	for _, w := range s.waiting {
		requests = append(requests, &w.request)
	}
	s.cost.queue.Promote(now, requests)
	for _, a := range s.adapters {
		s.updateKeys(now, a)
	}
	for _, w := range s.displacedWork(now) {
		s.dequeue(w)
		acts = append(acts, s.refuse(w, Displaced, s.workWait(now, s.adapters[w.Adapter], w)))
	}
	return acts
}

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

// maxHold bounds how long a refusal holds for like work.
const maxHold = 250 * time.Millisecond

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
	for _, other := range s.waiting {
		if !other.Resumed && (last == nil || other.key > last.key) {
			last = other
		}
	}
	if last == nil || last.key <= w.key {
		return nil
	}
	return last
}

// nextByCost returns the waiting work to grant next, or nil. While the memory has no room for it,
// only small work overtakes it, of which a batch fits in any case.
func (s *Scheduler) nextByCost(long bool) *Work {
	best := s.bestWaiting(func(w *Work) bool { return long || w.Short })
	if best == nil || s.fits(best) {
		return best
	}
	small := s.cfg.KVCapacity / s.cfg.BatchSize
	return s.bestWaiting(func(w *Work) bool { return (long || w.Short) && w.tokens() <= small && s.fits(w) })
}

// fits reports whether the engine's memory has room for work. Work that exceeds the memory alone
// runs alone.
func (s *Scheduler) fits(w *Work) bool {
	if s.cfg.KVCapacity <= 0 || len(s.running) == 0 {
		return true
	}
	return s.tokensInUse+w.tokens() <= int(memoryShare*float64(s.cfg.KVCapacity))
}

// bestWaiting returns the work with the lowest key that waits for a loaded adapter and may be
// granted.
func (s *Scheduler) bestWaiting(may func(w *Work) bool) *Work {
	var best *Work
	bestKey := math.Inf(1)
	for _, a := range s.resident {
		if a.state != loaded || len(a.waiting) == 0 {
			continue
		}
		w := a.waiting.firstThat(may)
		if w == nil {
			continue
		}
		key := w.key
		if a.pins > 0 {
			key -= s.cfg.BatchBonus
		}
		if key < bestKey {
			best, bestKey = w, key
		}
	}
	return best
}

// firstThat returns the work with the lowest key that may be granted, or nil.
func (h workHeap) firstThat(may func(w *Work) bool) *Work {
	if may(h[0]) {
		return h[0]
	}
	var best *Work
	for _, w := range h {
		if (best == nil || w.key < best.key) && may(w) {
			best = w
		}
	}
	return best
}

// nextLoadByCost returns the absent adapter to load next, or nil: the one whose first work has the
// lowest key, where much waiting work makes up for a short time.
func (s *Scheduler) nextLoadByCost() *adapter {
	var best *adapter
	bestKey := math.Inf(1)
	for a := range s.cold {
		key := a.waiting[0].key - demandLeadSeconds*float64(len(a.waiting))
		if key < bestKey || key == bestKey && a.name < best.name {
			best, bestKey = a, key
		}
	}
	return best
}
