package engine

import (
	"time"
)

type slotState int

const (
	absent slotState = iota
	loading
	loaded
	unloading
	locked // in a slot that a former owner may still change
)

// adapter is the scheduler's state of one adapter.
type adapter struct {
	name       string
	state      slotState
	swap       bool // in a swap slot
	pins       int
	waiting    workHeap
	popularity DecayingCounter // in requests
	lastUsed   time.Time
	loadedAt   time.Time
}

func (s *Scheduler) adapter(name string) *adapter {
	a := s.adapters[name]
	if a == nil {
		a = &adapter{name: name}
		s.adapters[name] = a
	}
	return a
}

func (s *Scheduler) takeSlot(a *adapter) {
	s.resident = append(s.resident, a)
}

// freeSlot removes the adapter from its slot.
func (s *Scheduler) freeSlot(a *adapter) {
	if a.state == absent || a == s.base {
		return
	}
	a.state, a.swap = absent, false
	defer s.updateCold(a)
	for i, r := range s.resident {
		if r == a {
			s.resident[i] = s.resident[len(s.resident)-1]
			s.resident = s.resident[:len(s.resident)-1]
			break
		}
	}
}

// loadable reports whether the current mode allows loading an absent adapter.
func (s *Scheduler) loadable() bool {
	if s.mode.ReadOnly {
		return false
	}
	if !s.mode.SwapOnly || !s.cfg.NeedsIntents {
		return true
	}
	return s.cfg.SwapSlots > 0
}

// requestLoad requests a load if waiting work needs one and there is a slot for
// it. The adapter is chosen only when the load is approved.
func (s *Scheduler) requestLoad(now time.Time) (Action, bool) {
	if len(s.waiting) == 0 || s.loadsRequested+s.loadsRunning >= s.cfg.MaxLoads || s.mode.ReadOnly {
		return Action{}, false
	}
	if victim, free := s.chooseSlot(now); !free && victim == nil {
		return Action{}, false
	}
	want := s.nextLoad(now)
	if want == nil {
		return Action{}, false
	}
	s.loadRequestTimes = append(s.loadRequestTimes, now)
	s.loadsRequested++
	return Action{Kind: RequestLoad, Demand: len(want.waiting)}, true
}

// ApproveLoad approves a [RequestLoad] and returns the load to start. If no load
// is needed any more, ok is false, and the caller should refund the load to the
// budget.
func (s *Scheduler) ApproveLoad(now time.Time) (act Action, ok bool) {
	s.loadsRequested--
	if !s.mode.ReadOnly {
		if act, ok = s.chooseLoad(now); ok {
			return act, true
		}
	}
	s.popLoadRequest()
	return Action{}, false
}

// DenyLoad rejects a [RequestLoad].
func (s *Scheduler) DenyLoad() {
	s.loadsRequested--
	s.popLoadRequest()
}

// popLoadRequest removes the oldest load request and returns its time.
func (s *Scheduler) popLoadRequest() time.Time {
	at := s.loadRequestTimes[0]
	s.loadRequestTimes = s.loadRequestTimes[1:]
	return at
}

// chooseLoad chooses the adapter to load next and the slot for it.
func (s *Scheduler) chooseLoad(now time.Time) (Action, bool) {
	victim, free := s.chooseSlot(now)
	if !free && victim == nil {
		return Action{}, false
	}
	want := s.nextLoad(now)
	if want == nil {
		return Action{}, false
	}
	act := Action{Kind: Load, Adapter: want.name}
	swap := s.cfg.NeedsIntents && s.swapUsed() < s.cfg.SwapSlots
	if !free {
		swap = s.cfg.NeedsIntents && victim.swap
		act.Victim = victim.name
		victim.state = unloading
	}
	act.Stable = s.cfg.NeedsIntents && !swap
	want.state, want.swap = loading, swap
	s.updateCold(want)
	s.takeSlot(want)
	s.loadsRunning++
	return act, true
}

// nextLoad returns the absent adapter to load next, or nil. Adapters whose work
// can still meet its target come first: under overload, loading in order of
// age would make all work late.
func (s *Scheduler) nextLoad(now time.Time) *adapter {
	if s.cost != nil {
		return s.nextLoadByCost()
	}
	var best *adapter
	var bestScore float64
	for a := range s.cold {
		score := now.Sub(a.waiting[0].arrivedAt).Seconds() + 0.1*float64(len(a.waiting))
		if s.loadMeetsTarget(now, a) {
			score += targetScore
		}
		if best == nil || score > bestScore || score == bestScore && a.name < best.name {
			best, bestScore = a, score
		}
	}
	return best
}

// loadMeetsTarget reports whether the first waiting work of an absent adapter
// would meet its target if the load started now.
func (s *Scheduler) loadMeetsTarget(now time.Time, a *adapter) bool {
	return a.waiting[0].meetsTarget(now, s.cfg.LoadTime+s.cfg.LoadTime/targetMarginDivisor)
}

// targetMarginDivisor is the divisor of the load time that gives the safety
// margin for meeting a target. Without a margin, loads go to work that just
// misses its target.
const targetMarginDivisor = 4

// targetScore is added to the score of a load that meets its target. It exceeds
// any score from the waiting time in seconds.
const targetScore = 1e6

func (s *Scheduler) slotsUsed() int {
	if s.base != nil {
		return len(s.resident) - 1
	}
	return len(s.resident)
}

func (s *Scheduler) swapUsed() int {
	n := 0
	for _, a := range s.resident {
		if a.swap {
			n++
		}
	}
	return n
}

// SetReservedSlots sets how many slots of the engine must stay free. Adapters that are in one of
// them already stay loaded.
func (s *Scheduler) SetReservedSlots(now time.Time, n int) []Action {
	if n == s.reserved {
		return nil
	}
	s.reserved = n
	return s.dispatch(now, nil)
}

// chooseSlot reports whether there is a free slot. Otherwise it returns the
// adapter to evict, or nil if there is none.
func (s *Scheduler) chooseSlot(now time.Time) (victim *adapter, free bool) {
	swapOnly := s.mode.SwapOnly && s.cfg.NeedsIntents
	if s.slotsUsed() < s.cfg.Slots-s.reserved && (!swapOnly || s.swapUsed() < s.cfg.SwapSlots) {
		return nil, true
	}
	if s.mode.NoEvict {
		return nil, false
	}
	for _, a := range s.resident {
		if a == s.base || a.state != loaded || a.pins > 0 || len(a.waiting) > 0 {
			continue
		}
		if swapOnly && !a.swap {
			continue
		}
		if victim == nil || s.evictBefore(now, a, victim) {
			victim = a
		}
	}
	return victim, false
}

func (s *Scheduler) evictBefore(now time.Time, a, b *adapter) bool {
	if s.cfg.LRU {
		return a.lastUsed.Before(b.lastUsed)
	}
	pa, pb := a.popularity.At(now, s.cfg.HalfLife), b.popularity.At(now, s.cfg.HalfLife)
	return pa < pb || pa == pb && a.name < b.name
}
