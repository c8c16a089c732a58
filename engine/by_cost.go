package engine

import (
	"container/heap"
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
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
