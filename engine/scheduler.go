package engine

import (
	"container/heap"
	"math"
	"time"
)

// The shortest and the longest time to come back that a refusal names.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Scheduler decides for one engine: who starts, who waits, who is refused,
// which adapter is loaded and which is evicted. An adapter with a pin is never
// evicted; every grant is a pin until it is released.
type Scheduler struct {
	cfg      SchedulerConfig
	epoch    time.Time // queue keys are counted from here
	adapters map[string]*adapter
	cold     map[*adapter]bool // adapters that work waits for and that are in no slot
	resident []*adapter        // adapters in a slot, whatever their state, and base
	base     *adapter          // the base model itself, or nil
	running  map[string]*Work
	waiting  map[string]*Work
	longRun  int
	asked    int           // loads asked for from the budget
	loads    int           // loads under way
	askedAt  []time.Time   // when the loads that are asked for or under way were asked for, oldest first
	loadTime time.Duration // moving average of the time from asking for a load to its end
	backlog  time.Duration // expected time in the batch of all waiting work
	clear    time.Time     // when new work last had no more than a usual wait
	readUpTo time.Time     // when the prompts of all granted work will have been read
	token    time.Duration // moving average of the time between tokens
	sampled  time.Time     // when a time between tokens was last measured

	mode Mode
}

// Mode restricts what a scheduler may ask for. The zero value restricts
// nothing.
type Mode struct {
	Recovering bool // refuse all new work
	Draining   bool // refuse all new work; running work goes on
	ReadOnly   bool // no orders to the engine
	NoEvict    bool // loads into free slots only
	SwapOnly   bool // no change that needs an intent
}

// NewScheduler returns a scheduler for an engine that holds nothing.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg: cfg, loadTime: cfg.LoadTime, cold: make(map[*adapter]bool),
		adapters: make(map[string]*adapter),
		running:  make(map[string]*Work),
		waiting:  make(map[string]*Work),
	}
	if cfg.ServesBase {
		s.base = s.adapter("")
		s.base.state = loaded
		s.resident = append(s.resident, s.base)
	}
	return s
}

// Mode returns the present mode.
func (s *Scheduler) Mode() Mode { return s.mode }

// SetMode changes the mode. Waiting work that the new mode rules out is
// refused at once.
func (s *Scheduler) SetMode(now time.Time, m Mode) []Action {
	s.mode = m
	return s.Tick(now)
}

// Submit offers work. The answer is a grant, a refusal, or nothing yet.
func (s *Scheduler) Submit(now time.Time, w Work) []Action {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	w.arrived = now
	w.service, w.reading = s.serviceTime(&w)
	w.key = w.service.Seconds() + s.cfg.Ageing*now.Sub(s.epoch).Seconds()
	if !w.Short {
		w.key += s.cfg.LongPenalty
	}
	a := s.adapter(w.Adapter)
	a.pop.Add(now, s.cfg.HalfLife)
	if reason, wait := s.refusal(now, a, &w); reason != "" {
		return []Action{s.refuse(&w, reason, wait)}
	}
	heap.Push(&a.waiting, &w)
	s.refile(a)
	s.waiting[w.ID] = &w
	s.backlog += w.service
	return s.dispatch(now, nil)
}

// refusal returns why the work cannot be taken, or "", and the expected wait.
func (s *Scheduler) refusal(now time.Time, a *adapter, w *Work) (RefusalReason, time.Duration) {
	wait := s.wait(now, a, w.Short)
	if w.FirstTokenTarget.IsZero() {
		s.clear = now
	}
	overloaded := s.noteOverload(now, wait)
	switch {
	case s.mode.Draining:
		return Draining, wait
	case s.mode.Recovering:
		return Recovering, wait
	case a.state == held, a.state == absent && !s.loadable():
		return NotLoaded, wait
	case len(s.waiting) >= s.cfg.MaxQueue:
		return QueueFull, wait
	case w.MaxWait > 0 && wait > w.MaxWait && a.state != loaded:
		return Cold, wait
	case w.MaxWait > 0 && wait > w.MaxWait:
		return Overflow, wait
	case w.tooLate(now, wait), overloaded && !w.meetsAim(now, wait):
		return TooLate, wait
	}
	return "", wait
}

// refile keeps the set of cold adapters up to date after a change to a.
func (s *Scheduler) refile(a *adapter) {
	if a.state == absent && len(a.waiting) > 0 {
		s.cold[a] = true
		return
	}
	delete(s.cold, a)
}

// Cancel withdraws waiting work. It has no effect on work that was granted.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	w, ok := s.waiting[id]
	if !ok {
		return nil
	}
	s.withdraw(w)
	return s.dispatch(now, nil)
}

func (s *Scheduler) withdraw(w *Work) {
	a := s.adapters[w.Adapter]
	heap.Remove(&a.waiting, w.index)
	s.refile(a)
	delete(s.waiting, w.ID)
	s.backlog -= w.service
}

// Release ends a grant. Missing tells that the engine did not hold the
// adapter, so that it is loaded again before the next grant.
func (s *Scheduler) Release(now time.Time, id string, missing bool) []Action {
	w, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if !w.Short {
		s.longRun--
	}
	a := s.adapters[w.Adapter]
	a.pins--
	a.used = now
	if missing && a.state == loaded && w.granted.After(a.loadedAt) {
		s.vacate(a)
	}
	return s.dispatch(now, nil)
}

// FinishLoad reports the end of a load that the scheduler asked for. When it
// failed, the work that waits for the adapter is refused.
func (s *Scheduler) FinishLoad(now time.Time, r LoadResult) []Action {
	s.loads--
	s.observeLoad(now, s.endAsk())
	if v := s.adapters[r.Victim]; v != nil && v.state == leaving {
		if r.VictimKept {
			v.state = loaded
		} else {
			s.vacate(v)
		}
	}
	a := s.adapter(r.Adapter)
	if r.OK {
		if a.state == absent {
			s.occupy(a) // the engine was taken for restarted meanwhile
		}
		a.state, a.loadedAt, a.used = loaded, now, now
		return s.dispatch(now, nil)
	}
	s.vacate(a)
	var acts []Action
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		s.withdraw(w)
		acts = append(acts, s.refuse(w, LoadFailed, s.loadTime))
	}
	return s.dispatch(now, acts)
}

// RefuseAll refuses all waiting work.
func (s *Scheduler) RefuseAll(now time.Time, reason RefusalReason) []Action {
	var acts []Action
	for _, w := range s.waiting {
		s.withdraw(w)
		acts = append(acts, s.refuse(w, reason, s.wait(now, s.adapters[w.Adapter], w.Short)))
	}
	return acts
}

// Tick refuses waiting work that can no longer meet its deadline or that the
// mode rules out, and forgets adapters that are neither resident nor popular.
func (s *Scheduler) Tick(now time.Time) []Action {
	var acts []Action
	s.forgetSlowness(now)
	for _, w := range s.waiting {
		if reason := s.overdue(now, w); reason != "" {
			s.withdraw(w)
			acts = append(acts, s.refuse(w, reason, s.wait(now, s.adapters[w.Adapter], w.Short)))
		}
	}
	for name, a := range s.adapters {
		if a != s.base && a.state == absent && len(a.waiting) == 0 && a.pins == 0 && a.pop.At(now, s.cfg.HalfLife) < 0.05 {
			delete(s.adapters, name)
		}
	}
	return s.dispatch(now, acts)
}

func (s *Scheduler) overdue(now time.Time, w *Work) RefusalReason {
	a := s.adapters[w.Adapter]
	switch {
	case s.mode.Draining:
		return Draining
	case s.mode.Recovering:
		return Recovering
	case a.state == absent && !s.loadable():
		return NotLoaded
	case w.tooLate(now, 0):
		return TooLate
	}
	return ""
}

// Running returns the work under grants, in no order.
func (s *Scheduler) Running() []Work {
	list := make([]Work, 0, len(s.running))
	for _, w := range s.running {
		list = append(list, *w)
	}
	return list
}

// Stats returns the numbers of running and waiting requests and the expected
// wait of short work on a loaded adapter.
func (s *Scheduler) Stats(now time.Time) (running, waiting int, wait time.Duration) {
	return len(s.running), len(s.waiting), s.wait(now, &adapter{state: loaded}, true)
}

// DistinctAdapters returns how many adapters share the batch.
func (s *Scheduler) DistinctAdapters() int {
	n := 0
	for _, a := range s.resident {
		if a.pins > 0 {
			n++
		}
	}
	return n
}

func (s *Scheduler) refuse(w *Work, reason RefusalReason, wait time.Duration) Action {
	return Action{Kind: Refuse, Work: w, Reason: reason, Wait: wait, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

func (s *Scheduler) pin(now time.Time, w *Work) {
	if _, ok := s.running[w.ID]; ok {
		return
	}
	w.granted = now
	s.running[w.ID] = w
	if s.cfg.SerialPrefill {
		s.readUpTo = later(s.readUpTo, now).Add(w.reading)
	}
	if !w.Short {
		s.longRun++
	}
	a := s.adapter(w.Adapter)
	a.pins++
	a.used = now
}

// dispatch fills free places and starts loads.
func (s *Scheduler) dispatch(now time.Time, acts []Action) []Action {
	for {
		w := s.pick()
		if w == nil {
			break
		}
		s.withdraw(w)
		s.pin(now, w)
		acts = append(acts, Action{Kind: Grant, Work: w})
	}
	for {
		a, ok := s.askLoad(now)
		if !ok {
			return acts
		}
		acts = append(acts, a)
	}
}

// pick returns the waiting work that should start now, or nil.
func (s *Scheduler) pick() *Work {
	if len(s.waiting) == 0 || !s.placeFree(true) {
		return nil
	}
	long := s.placeFree(false)
	var best *Work
	bestKey := math.Inf(1)
	for _, a := range s.resident {
		if a.state != loaded || len(a.waiting) == 0 {
			continue
		}
		w := a.waiting.first(long)
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

func (s *Scheduler) placeFree(short bool) bool {
	if len(s.running) >= s.cfg.BatchSize {
		return false
	}
	return short || s.longRun < max(1, int(s.cfg.LongShare*float64(s.cfg.BatchSize)))
}

// first returns the head of the queue, or with long false the first short
// work. An adapter's queue is rarely mixed, so the search is short.
func (h workHeap) first(long bool) *Work {
	if long || h[0].Short {
		return h[0]
	}
	var best *Work
	for _, w := range h {
		if w.Short && (best == nil || w.key < best.key) {
			best = w
		}
	}
	return best
}
