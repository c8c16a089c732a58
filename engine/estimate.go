package engine

import (
	"time"
)

// sampleKept is how long a measured token time stays valid. After that, the
// estimate decays towards the configured value.
const sampleKept = 500 * time.Millisecond

// estimateWeight is the weight of a new sample in the moving averages.
const estimateWeight = 0.1

// wait returns the expected queue wait of new work for the adapter.
func (s *Scheduler) wait(now time.Time, a *adapter, short bool) time.Duration {
	var wait time.Duration
	if !s.placeFree(short) || s.backlog > 0 {
		wait = s.backlog / time.Duration(s.cfg.BatchSize)
		if !s.placeFree(short) {
			wait += s.token * 4
		}
	}
	wait += max(0, s.readUpTo.Sub(now))
	if a.state != loaded {
		wait = max(wait, s.coldWait(now, a)) // prefill of other work overlaps with the load
	}
	return wait
}

// turnsBefore returns the number of loads that precede a load for new work.
// Work that can no longer meet its target is not counted, as [Scheduler.mostWanted]
// loads for it last.
func (s *Scheduler) turnsBefore(now time.Time) int {
	turns := 0
	for a := range s.cold {
		if a.waiting[0].FirstTokenTarget.IsZero() || s.loadMeetsAim(now, a) {
			turns++
		}
	}
	return turns
}

// overloadAfter is how long the wait of new work must stay above normal until
// the engine counts as overloaded. Shorter periods are bursts.
const overloadAfter = time.Second

// noteOverload records the expected wait of new work and reports whether the
// engine is overloaded. Overload ends when the wait is normal again. During
// overload, work that would miss its target is refused, since queueing it would
// make later work miss its target too.
func (s *Scheduler) noteOverload(now time.Time, wait time.Duration) bool {
	if wait <= s.cfg.LoadTime*3/2 {
		s.clear = now
	}
	return !s.clear.IsZero() && now.Sub(s.clear) > overloadAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldWait returns the expected time until an adapter that is not loaded can be
// used, including the loads ahead of it. If the oldest load in progress already
// takes longer than the estimate, its time so far is used instead.
func (s *Scheduler) coldWait(now time.Time, a *adapter) time.Duration {
	each := s.loadTime
	if len(s.askedAt) > 0 {
		each = max(each, now.Sub(s.askedAt[0]))
	}
	turns := s.turnsBefore(now)
	if a.state == absent && !s.cold[a] {
		turns++
	}
	return each * time.Duration(max(1, (turns+s.cfg.MaxLoads-1)/s.cfg.MaxLoads))
}

// forgetSlowness decays the token time estimate towards its configured value
// while there are no new samples. Without the decay, an engine that was slow once
// would be refused all work and so would never yield a better sample.
func (s *Scheduler) forgetSlowness(now time.Time) {
	if now.Sub(s.sampled) > sampleKept && s.token > s.cfg.TokenTime {
		s.token -= (s.token - s.cfg.TokenTime) / 8
	}
}

// ObserveTokenTime adds a measured time between tokens to the estimate.
func (s *Scheduler) ObserveTokenTime(now time.Time, d time.Duration) {
	s.sampled = now
	if s.token == 0 {
		s.token = d
	}
	s.token += time.Duration(estimateWeight * float64(d-s.token))
}

// observeLoad adds the time of a finished load to the estimate. The time includes
// the wait for the load budget.
func (s *Scheduler) observeLoad(now, asked time.Time) {
	s.loadTime += time.Duration(2 * estimateWeight * float64(now.Sub(asked)-s.loadTime))
}

func (s *Scheduler) serviceTime(w *Work) (total, reading time.Duration) {
	if s.token == 0 {
		s.token = s.cfg.TokenTime
	}
	reading = time.Duration(w.PromptTokens) * s.token / time.Duration(s.cfg.PrefillSpeed)
	if s.cfg.SerialPrefill {
		// Concurrent prefill increases the measured token time, but not the
		// time to prefill one prompt.
		reading = time.Duration(w.PromptTokens) * s.cfg.TokenTime / time.Duration(s.cfg.PrefillSpeed)
	}
	return time.Duration(w.ExpectedTokens)*s.token + reading, reading
}
