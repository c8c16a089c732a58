package engine

import (
	"time"
)

// tokenTimeTTL is how long a measured token time stays valid. After that, the
// estimate decays towards the configured value.
const tokenTimeTTL = 500 * time.Millisecond

// ewmaWeight is the weight of a new sample in the moving averages.
const ewmaWeight = 0.1

// expectedWait returns the expected queue wait of new work for the adapter.
func (s *Scheduler) expectedWait(now time.Time, a *adapter, short bool) time.Duration {
	return s.waitBehind(now, a, short, s.backlog, s.loadsAhead)
}

// waitBehind returns the expected queue wait of work for the adapter behind a backlog and loads.
func (s *Scheduler) waitBehind(now time.Time, a *adapter, short bool, backlog time.Duration, loadsAhead func(now time.Time) int) time.Duration {
	var wait time.Duration
	if !s.hasRoom(short) || backlog > 0 {
		wait = backlog / time.Duration(s.cfg.BatchSize)
		if !s.hasRoom(short) {
			wait += s.tokenTime * 4
		}
	}
	wait = max(wait, s.rate.Wait(now, len(s.waiting))) + max(0, s.prefillEnd.Sub(now))
	if a.state != loaded {
		wait = max(wait, s.coldWait(now, a, loadsAhead)) // prefill of other work overlaps with the load
	}
	return wait
}

// loadsAhead returns the number of loads that precede a load for new work.
// Work that can no longer meet its target is not counted, as [Scheduler.nextLoad]
// loads for it last.
func (s *Scheduler) loadsAhead(now time.Time) int {
	n := 0
	for a := range s.cold {
		if a.waiting[0].FirstTokenTarget.IsZero() || s.loadMeetsTarget(now, a) {
			n++
		}
	}
	return n
}

// overloadAfter is how long the wait of new work must stay above normal until
// the engine counts as overloaded. Shorter periods are bursts.
const overloadAfter = time.Second

// updateOverload records the expected wait of new work and reports whether the
// engine is overloaded. A wait of up to 1.5 load times is normal; overload ends when
// the wait is normal again. During overload, work that would miss its target is
// refused, since queueing it would make later work miss its target too.
func (s *Scheduler) updateOverload(now time.Time, w *Work, wait time.Duration) bool {
	normalAt := s.normalWait(w)
	if wait <= s.cfg.LoadTime*3/2 {
		*normalAt = now
	}
	return !normalAt.IsZero() && now.Sub(*normalAt) > overloadAfter
}

// normalWait returns when new work like w last had a normal wait. By cost, that is work of its level.
func (s *Scheduler) normalWait(w *Work) *time.Time {
	if s.cost != nil {
		return &s.cost.normalWaitAt[w.level]
	}
	return &s.normalWaitAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldWait returns the expected time until an adapter that is not loaded can be
// used, including the loads ahead of it. If the oldest load in progress already
// takes longer than the estimate, its time so far is used instead.
func (s *Scheduler) coldWait(now time.Time, a *adapter, loadsAhead func(now time.Time) int) time.Duration {
	each := s.loadTime
	if len(s.loadRequestTimes) > 0 {
		each = max(each, now.Sub(s.loadRequestTimes[0]))
	}
	loads := loadsAhead(now)
	if a.state == absent && !s.cold[a] {
		loads++
	}
	return each * time.Duration(max(1, (loads+s.cfg.MaxLoads-1)/s.cfg.MaxLoads))
}

// decayTokenTime decays the token time estimate towards its configured value
// while there are no new samples. Without the decay, an engine that was slow once
// would be refused all work and so would never yield a better sample.
func (s *Scheduler) decayTokenTime(now time.Time) {
	if now.Sub(s.tokenTimeAt) > tokenTimeTTL && s.tokenTime > s.cfg.TokenTime {
		s.tokenTime -= (s.tokenTime - s.cfg.TokenTime) / 8
	}
}

// loadTimeTTL is how long a measured load time stays valid while no load is in progress.
const loadTimeTTL = time.Second

// decayLoadTime decays the load time estimate towards its configured value while no load
// is in progress. Without the decay, an engine whose loads took long once would be refused
// all work that needs a load.
func (s *Scheduler) decayLoadTime(now time.Time) {
	if len(s.loadRequestTimes) == 0 && now.Sub(s.loadTimeAt) > loadTimeTTL && s.loadTime > s.cfg.LoadTime {
		s.loadTime -= (s.loadTime - s.cfg.LoadTime) / 8
	}
}

// ObserveTokenTime adds a measured time between tokens to the estimate.
func (s *Scheduler) ObserveTokenTime(now time.Time, d time.Duration) {
	s.tokenTimeAt = now
	if s.tokenTime == 0 {
		s.tokenTime = d
	}
	s.tokenTime += time.Duration(ewmaWeight * float64(d-s.tokenTime))
}

// observeLoadTime adds the time of a finished load to the estimate. The time
// includes the wait for the load budget.
func (s *Scheduler) observeLoadTime(now, requested time.Time) {
	s.loadTimeAt = now
	s.loadTime += time.Duration(2 * ewmaWeight * float64(now.Sub(requested)-s.loadTime))
}

func (s *Scheduler) serviceTime(w *Work) (total, prefill time.Duration) {
	if s.tokenTime == 0 {
		s.tokenTime = s.cfg.TokenTime
	}
	prefill = time.Duration(w.PromptTokens) * s.tokenTime / time.Duration(s.cfg.PrefillSpeed)
	if s.cfg.SerialPrefill {
		// Concurrent prefill increases the measured token time, but not the
		// time to prefill one prompt.
		prefill = time.Duration(w.PromptTokens) * s.cfg.TokenTime / time.Duration(s.cfg.PrefillSpeed)
	}
	return time.Duration(w.ExpectedTokens)*s.tokenTime + prefill, prefill
}
