package engine

import (
	"container/heap"
	"time"
)

// Bounds on the retry delay in a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Scheduler schedules the requests and the adapter slots of one engine. It
// grants, queues or refuses work, and decides which adapters are loaded and
// evicted. Every grant pins its adapter until it is released, and a pinned
// adapter is never evicted.
type Scheduler struct {
	cfg              SchedulerConfig
	keyOrigin        time.Time // reference time of the queue keys
	adapters         map[string]*adapter
	cold             map[*adapter]bool // adapters that are in no slot and have queued work
	resident         []*adapter        // adapters in a slot, in any state, and base
	base             *adapter          // the base model as an adapter, or nil if it is not served
	running          map[string]*Work
	waiting          map[string]*Work
	longRunning      int
	loadsRequested   int           // loads requested from the load budget
	loadsRunning     int           // loads in progress
	loadRequestTimes []time.Time   // request times of these loads, oldest first
	loadTime         time.Duration // moving average of the time from a load request to its end
	loadTimeAt       time.Time     // end of the last load
	backlog          time.Duration // sum of the expected service times of the waiting work
	normalWaitAt     time.Time     // when new work last had a normal wait
	prefillEnd       time.Time     // expected end of the prefill of all granted work
	tokenTime        time.Duration // moving average of the time between tokens
	tokenTimeAt      time.Time     // last measurement of the time between tokens

	reserved int // slots that must stay free

	rate RateLimit // of the requests that the engine takes

	cost        *costOrder // nil unless the queue is ordered by cost
	tokensInUse int        // tokens of the running work

	mode Mode
}

// Mode restricts the actions of a scheduler. The zero value has no restrictions.
type Mode struct {
	Recovering bool // refuse all new work
	Draining   bool // refuse all new work; running work continues
	ReadOnly   bool // send no commands to the engine
	NoEvict    bool // load into free slots only
	SwapOnly   bool // change no slot that needs a stored intent
}

// NewScheduler returns a scheduler for an engine without loaded adapters.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{
		cfg: cfg, loadTime: cfg.LoadTime, cold: make(map[*adapter]bool),
		adapters: make(map[string]*adapter),
		running:  make(map[string]*Work),
		waiting:  make(map[string]*Work),
	}
	if cfg.ByCost {
		s.cost = &costOrder{}
	}
	if cfg.ServesBase {
		s.base = s.adapter("")
		s.base.state = loaded
		s.resident = append(s.resident, s.base)
	}
	return s
}

// Mode returns the current mode.
func (s *Scheduler) Mode() Mode { return s.mode }

// SetMode changes the mode and refuses waiting work that the new mode does not
// allow.
func (s *Scheduler) SetMode(now time.Time, m Mode) []Action {
	s.mode = m
	return s.Tick(now)
}

// SetRateLimit sets the number of callers' requests a second that the engine takes. Commands
// do not count.
func (s *Scheduler) SetRateLimit(now time.Time, perSecond float64, limited bool) []Action {
	if !limited && !s.rate.limited {
		return nil
	}
	old := s.rate
	s.rate.Set(now, max(LeastRate, perSecond), limited)
	if limited && (!old.limited || old.rate != s.rate.rate) {
		return s.dispatch(now, s.refuseBeyondRate(now))
	}
	return s.dispatch(now, nil)
}

// Submit adds work. The work is granted, refused or queued; queued work is
// granted or refused by a later action.
func (s *Scheduler) Submit(now time.Time, w Work) []Action {
	if s.keyOrigin.IsZero() {
		s.keyOrigin = now
	}
	w.arrivedAt = now
	w.serviceTime, w.prefill = s.serviceTime(&w)
	a := s.adapter(w.Adapter)
	if s.cost != nil {
		s.cost.queue.Offer(now, s.costRequest(a, &w))
	}
	s.setKey(now, a, &w)
	a.popularity.Add(now, s.cfg.HalfLife)
	displaced := s.displacedBy(&w)
	if reason, wait := s.refusal(now, a, &w, displaced != nil); reason != "" {
		act := s.refuse(&w, reason, wait)
		s.setHold(now, &act)
		return []Action{act}
	}
	var acts []Action
	if displaced != nil {
		s.dequeue(displaced)
		acts = append(acts, s.refuse(displaced, Displaced, s.workWait(now, s.adapters[displaced.Adapter], displaced)))
	}
	heap.Push(&a.waiting, &w)
	s.updateCold(a)
	s.waiting[w.ID] = &w
	s.addBacklog(&w)
	return s.dispatch(now, acts)
}

// setKey sets the queue key of work.
func (s *Scheduler) setKey(now time.Time, a *adapter, w *Work) {
	if s.cost != nil {
		s.setCostKey(now, a, w)
		return
	}
	w.key = w.serviceTime.Seconds() + s.cfg.Ageing*w.arrivedAt.Sub(s.keyOrigin).Seconds()
	if !w.Short {
		w.key += s.cfg.LongPenalty
	}
}

func (s *Scheduler) addBacklog(w *Work) {
	s.backlog += w.serviceTime
	if s.cost != nil {
		s.cost.backlog[w.level] += w.serviceTime
	}
}

func (s *Scheduler) removeBacklog(w *Work) {
	s.backlog -= w.serviceTime
	if s.cost != nil {
		s.cost.backlog[w.level] -= w.serviceTime
	}
}

// refusal returns the reason for refusing the work, or "", and the expected wait. hasRoom is set if
// there is room for it in a full queue.
func (s *Scheduler) refusal(now time.Time, a *adapter, w *Work, hasRoom bool) (RefusalReason, time.Duration) {
	wait := s.workWait(now, a, w)
	if w.FirstTokenTarget.IsZero() {
		*s.normalWait(w) = now
	}
	overloaded := s.updateOverload(now, w, wait)
	switch {
	case s.mode.Draining:
		return Draining, wait
	case s.mode.Recovering:
		return Recovering, wait
	case a.state == locked, a.state == absent && !s.loadable():
		return NotLoaded, wait
	case s.isRateWaitTooLong(now, w):
		return Limited, wait
	case len(s.waiting) >= s.cfg.MaxQueue && !hasRoom:
		return QueueFull, wait
	case w.MaxWait > 0 && wait > w.MaxWait && a.state != loaded:
		return Cold, wait
	case w.MaxWait > 0 && wait > w.MaxWait:
		return Overflow, wait
	case w.missesDeadline(now, wait), overloaded && !w.Resumed && !s.meetsTarget(now, w, wait):
		s.recordRefusal(now, w)
		return DeadlineUnmet, wait
	}
	return "", wait
}

// isRateWaitTooLong reports whether the rate limit alone delays new work for too long.
func (s *Scheduler) isRateWaitTooLong(now time.Time, w *Work) bool {
	wait := s.rate.Wait(now, len(s.waiting))
	return wait > 0 && w.cannotWait(now, wait)
}

// updateCold updates the set of cold adapters after a change to a.
func (s *Scheduler) updateCold(a *adapter) {
	if a.state == absent && len(a.waiting) > 0 {
		s.cold[a] = true
		return
	}
	delete(s.cold, a)
}

// Cancel removes waiting work. It has no effect on granted work.
func (s *Scheduler) Cancel(now time.Time, id string) []Action {
	w, ok := s.waiting[id]
	if !ok {
		return nil
	}
	s.dequeue(w)
	return s.dispatch(now, nil)
}

func (s *Scheduler) dequeue(w *Work) {
	a := s.adapters[w.Adapter]
	heap.Remove(&a.waiting, w.index)
	s.updateCold(a)
	delete(s.waiting, w.ID)
	s.removeBacklog(w)
}

// Release ends a grant. With adapterMissing set, the engine reported that the adapter
// was not loaded, and it is loaded again before its next grant.
func (s *Scheduler) Release(now time.Time, id string, adapterMissing bool) []Action {
	w, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	s.tokensInUse -= w.tokens()
	if s.cost != nil {
		s.cost.queue.Finish(now, &w.request, w.Age(now))
	}
	if !w.Short {
		s.longRunning--
	}
	a := s.adapters[w.Adapter]
	a.pins--
	a.lastUsed = now
	if adapterMissing && a.state == loaded && w.grantedAt.After(a.loadedAt) {
		s.freeSlot(a)
	}
	return s.dispatch(now, nil)
}

// FinishLoad records the outcome of a [Load] action. If the load failed, the
// work that waits for the adapter is refused.
func (s *Scheduler) FinishLoad(now time.Time, r LoadResult) []Action {
	s.loadsRunning--
	s.observeLoadTime(now, s.popLoadRequest())
	if v := s.adapters[r.Victim]; v != nil && v.state == unloading {
		if r.VictimKept {
			v.state = loaded
		} else {
			s.freeSlot(v)
		}
	}
	a := s.adapter(r.Adapter)
	if r.OK {
		if a.state == absent {
			s.takeSlot(a) // a restart of the engine was recorded during the load
		}
		a.state, a.loadedAt, a.lastUsed = loaded, now, now
		s.updateKeys(now, a)
		return s.dispatch(now, nil)
	}
	s.freeSlot(a)
	var acts []Action
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		s.dequeue(w)
		acts = append(acts, s.refuse(w, LoadFailed, s.loadTime))
	}
	return s.dispatch(now, acts)
}

// RefuseAll refuses all waiting work.
func (s *Scheduler) RefuseAll(now time.Time, reason RefusalReason) []Action {
	var acts []Action
	for _, w := range s.waiting {
		s.dequeue(w)
		acts = append(acts, s.refuse(w, reason, s.workWait(now, s.adapters[w.Adapter], w)))
	}
	return acts
}

// Tick refuses waiting work that can no longer meet its deadlines or that the
// mode does not allow, and removes adapters that are neither resident nor popular.
func (s *Scheduler) Tick(now time.Time) []Action {
	var acts []Action
	s.decayTokenTime(now)
	s.decayLoadTime(now)
	for _, w := range s.waiting {
		if reason := s.refusalAfterQueueing(now, w); reason != "" {
			s.dequeue(w)
			acts = append(acts, s.refuse(w, reason, s.workWait(now, s.adapters[w.Adapter], w)))
		}
	}
	acts = s.reorder(now, acts)
	for name, a := range s.adapters {
		if a != s.base && a.state == absent && len(a.waiting) == 0 && a.pins == 0 && a.popularity.At(now, s.cfg.HalfLife) < 0.05 {
			delete(s.adapters, name)
		}
	}
	return s.dispatch(now, acts)
}

func (s *Scheduler) refusalAfterQueueing(now time.Time, w *Work) RefusalReason {
	a := s.adapters[w.Adapter]
	switch {
	case s.mode.Draining:
		return Draining
	case s.mode.Recovering:
		return Recovering
	case a.state == absent && !s.loadable():
		return NotLoaded
	case w.missesDeadline(now, 0):
		return DeadlineUnmet
	}
	return ""
}

// Running returns the granted work, in unspecified order.
func (s *Scheduler) Running() []Work {
	list := make([]Work, 0, len(s.running))
	for _, w := range s.running {
		list = append(list, *w)
	}
	return list
}

// Stats returns the number of running and of waiting requests, and the expected
// wait of short work for a loaded adapter.
func (s *Scheduler) Stats(now time.Time) (running, waiting int, wait time.Duration) {
	return len(s.running), len(s.waiting), s.expectedWait(now, &adapter{state: loaded}, true)
}

// DistinctAdapters returns the number of adapters in the batch.
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
	act := Action{Kind: Refuse, Work: w, Reason: reason, Wait: wait, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	if a := s.adapters[w.Adapter]; a != nil {
		act.AdapterRequests = a.pins + len(a.waiting)
	}
	return act
}

func (s *Scheduler) recordGrant(now time.Time, w *Work) {
	if _, ok := s.running[w.ID]; ok {
		return
	}
	w.grantedAt = now
	s.running[w.ID] = w
	s.tokensInUse += w.tokens()
	if s.cfg.SerialPrefill {
		s.prefillEnd = latest(s.prefillEnd, now).Add(w.prefill)
	}
	if !w.Short {
		s.longRunning++
	}
	a := s.adapter(w.Adapter)
	a.pins++
	a.lastUsed = now
}

// dispatch grants waiting work while there is room in the batch, and requests
// loads.
func (s *Scheduler) dispatch(now time.Time, acts []Action) []Action {
	for {
		w := s.nextWork(now)
		if w == nil {
			break
		}
		s.dequeue(w)
		s.recordGrant(now, w)
		if s.cost != nil {
			s.cost.queue.Grant(now, &w.request)
		}
		s.rate.Take(now)
		acts = append(acts, Action{Kind: Grant, Work: w})
	}
	for {
		a, ok := s.requestLoad(now)
		if !ok {
			return acts
		}
		acts = append(acts, a)
	}
}

// nextWork returns the waiting work to grant next, or nil.
func (s *Scheduler) nextWork(now time.Time) *Work {
	if len(s.waiting) == 0 || !s.hasRoom(true) || !s.rate.CanTake(now) {
		return nil
	}
	long := s.hasRoom(false)
	if s.cost != nil {
		return s.nextByCost(long)
	}
	return s.bestWaiting(func(w *Work) bool { return long || w.Short })
}

func (s *Scheduler) hasRoom(short bool) bool {
	if len(s.running) >= s.cfg.BatchSize {
		return false
	}
	return short || s.longRunning < max(1, int(s.cfg.LongShare*float64(s.cfg.BatchSize)))
}
