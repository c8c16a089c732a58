package engine

import (
	"time"
)

type slotState int

const (
	absent  slotState = iota
	loading           // a load was asked for
	loaded
	leaving // an unload was asked for
	held    // in a slot, but an earlier owner may still change it
)

// adapter is what the scheduler knows of one adapter at one engine.
type adapter struct {
	name     string
	state    slotState
	swap     bool // it sits in a swap slot
	pins     int
	waiting  workHeap
	pop      DecayingCounter // requests
	used     time.Time
	loadedAt time.Time
}

func (s *Scheduler) adapter(name string) *adapter {
	a := s.adapters[name]
	if a == nil {
		a = &adapter{name: name}
		s.adapters[name] = a
	}
	return a
}

func (s *Scheduler) occupy(a *adapter) {
	s.resident = append(s.resident, a)
}

// vacate takes the adapter out of its slot.
func (s *Scheduler) vacate(a *adapter) {
	if a.state == absent || a == s.base {
		return
	}
	a.state, a.swap = absent, false
	defer s.refile(a)
	for i, r := range s.resident {
		if r == a {
			s.resident[i] = s.resident[len(s.resident)-1]
			s.resident = s.resident[:len(s.resident)-1]
			break
		}
	}
}

// loadable reports whether an adapter that is absent could be loaded at all
// in the present mode.
func (s *Scheduler) loadable() bool {
	if s.mode.ReadOnly {
		return false
	}
	if !s.mode.SwapOnly || !s.cfg.NeedsIntents {
		return true
	}
	return s.cfg.SwapSlots > 0
}

// askLoad asks for a load if some work needs one and a slot can be had. Which
// adapter it will be is left open until the budget allows the load.
func (s *Scheduler) askLoad(now time.Time) (Action, bool) {
	if len(s.waiting) == 0 || s.asked+s.loads >= s.cfg.MaxLoads || s.mode.ReadOnly {
		return Action{}, false
	}
	if victim, free := s.slotFor(now); !free && victim == nil {
		return Action{}, false
	}
	want := s.mostWanted(now)
	if want == nil {
		return Action{}, false
	}
	s.askedAt = append(s.askedAt, now)
	s.asked++
	return Action{Kind: RequestLoad, Demand: len(want.waiting)}, true
}

// ApproveLoad answers an [RequestLoad]: the budget allows one load. The action is the
// load that is wanted most now; ok is false when none is wanted any more, and
// the load should be given back to the budget.
func (s *Scheduler) ApproveLoad(now time.Time) (act Action, ok bool) {
	s.asked--
	if !s.mode.ReadOnly {
		if act, ok = s.chooseLoad(now); ok {
			return act, true
		}
	}
	s.endAsk()
	return Action{}, false
}

// DenyLoad answers an [RequestLoad] that the budget does not allow.
func (s *Scheduler) DenyLoad() {
	s.asked--
	s.endAsk()
}

// endAsk forgets the oldest load that was asked for, and returns when that was.
func (s *Scheduler) endAsk() time.Time {
	at := s.askedAt[0]
	s.askedAt = s.askedAt[1:]
	return at
}

// chooseLoad chooses the adapter that is wanted most and the slot for it.
func (s *Scheduler) chooseLoad(now time.Time) (Action, bool) {
	victim, free := s.slotFor(now)
	if !free && victim == nil {
		return Action{}, false
	}
	want := s.mostWanted(now)
	if want == nil {
		return Action{}, false
	}
	act := Action{Kind: Load, Adapter: want.name}
	swap := s.cfg.NeedsIntents && s.swapUsed() < s.cfg.SwapSlots
	if !free {
		swap = s.cfg.NeedsIntents && victim.swap
		act.Victim = victim.name
		victim.state = leaving
	}
	act.Stable = s.cfg.NeedsIntents && !swap
	want.state, want.swap = loading, swap
	s.refile(want)
	s.occupy(want)
	s.loads++
	return act, true
}

// mostWanted returns the absent adapter to load next. When more loads are
// wanted than can be done in time, those go first whose work can still meet its
// aim: in the order of their age, all of them would be late.
func (s *Scheduler) mostWanted(now time.Time) *adapter {
	var best *adapter
	var bestScore float64
	for a := range s.cold {
		score := now.Sub(a.waiting[0].arrived).Seconds() + 0.1*float64(len(a.waiting))
		if s.loadMeetsAim(now, a) {
			score += aimScore
		}
		if best == nil || score > bestScore || score == bestScore && a.name < best.name {
			best, bestScore = a, score
		}
	}
	return best
}

// loadMeetsAim reports whether the first work that waits for an absent adapter
// meets its aim if the load starts now.
func (s *Scheduler) loadMeetsAim(now time.Time, a *adapter) bool {
	return a.waiting[0].meetsAim(now, s.cfg.LoadTime+s.cfg.LoadTime/aimMargin)
}

// aimMargin is the part of a load's time that work must have left over to count
// as meeting its aim. Without it the loads go to work that just misses it.
const aimMargin = 4

// aimScore is larger than any time that work waits, in seconds.
const aimScore = 1e6

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

// slotFor returns the adapter to evict, or free if a slot is empty.
func (s *Scheduler) slotFor(now time.Time) (victim *adapter, free bool) {
	swapOnly := s.mode.SwapOnly && s.cfg.NeedsIntents
	if s.slotsUsed() < s.cfg.Slots && (!swapOnly || s.swapUsed() < s.cfg.SwapSlots) {
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
		if victim == nil || s.worthLess(now, a, victim) {
			victim = a
		}
	}
	return victim, false
}

func (s *Scheduler) worthLess(now time.Time, a, b *adapter) bool {
	if s.cfg.LRU {
		return a.used.Before(b.used)
	}
	pa, pb := a.pop.At(now, s.cfg.HalfLife), b.pop.At(now, s.cfg.HalfLife)
	return pa < pb || pa == pb && a.name < b.name
}
