package engine

import (
	"time"
)

// sampleKept is how long the last time between tokens is believed.
const sampleKept = 500 * time.Millisecond

// estimateWeight is the weight of a new sample in moving averages.
const estimateWeight = 0.1

// wait returns the expected time until work on the adapter would start.
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
		wait = max(wait, s.coldWait(now, a)) // prompts are read while it loads
	}
	return wait
}

// turnsBefore counts the loads that go before one for new work: when some work
// has an aim, only those that still meet theirs.
func (s *Scheduler) turnsBefore(now time.Time) int {
	turns := 0
	for a := range s.cold {
		if a.waiting[0].FirstTokenTarget.IsZero() || s.loadMeetsAim(now, a) {
			turns++
		}
	}
	return turns
}

// overloadAfter is how long new work must have had more than the usual wait for
// the engine to count as overloaded, and not just hit by a burst.
const overloadAfter = time.Second

// noteOverload takes the wait of new work. Overload lasts until new work has no
// more than the usual wait again. Meanwhile work that would miss its aim is
// refused: taken in, it would only make that which comes later miss it too.
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

// coldWait returns the expected time until an adapter that is not loaded could
// be: the loads before it take their turn. A load that takes longer than usual
// counts at once, not only when it ends.
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

// forgetSlowness lets the estimate of the time between tokens fall back while
// no new sample comes. Otherwise an engine that was slow for a moment would be
// refused all work for being slow, and never get the work that shows it is not.
func (s *Scheduler) forgetSlowness(now time.Time) {
	if now.Sub(s.sampled) > sampleKept && s.token > s.cfg.TokenTime {
		s.token -= (s.token - s.cfg.TokenTime) / 8
	}
}

// ObserveTokenTime folds a measured time between tokens into the estimate.
func (s *Scheduler) ObserveTokenTime(now time.Time, d time.Duration) {
	s.sampled = now
	if s.token == 0 {
		s.token = d
	}
	s.token += time.Duration(estimateWeight * float64(d-s.token))
}

// observeLoad folds the time of a load that has ended into the estimate.
func (s *Scheduler) observeLoad(now, asked time.Time) {
	s.loadTime += time.Duration(2 * estimateWeight * float64(now.Sub(asked)-s.loadTime))
}

func (s *Scheduler) serviceTime(w *Work) (total, reading time.Duration) {
	if s.token == 0 {
		s.token = s.cfg.TokenTime
	}
	reading = time.Duration(w.PromptTokens) * s.token / time.Duration(s.cfg.PrefillSpeed)
	if s.cfg.SerialPrefill {
		// The time between tokens grows with the prompts that are read meanwhile;
		// the time to read a prompt does not.
		reading = time.Duration(w.PromptTokens) * s.cfg.TokenTime / time.Duration(s.cfg.PrefillSpeed)
	}
	return time.Duration(w.ExpectedTokens)*s.token + reading, reading
}
