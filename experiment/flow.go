package experiment

import (
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// flow is the state of one request across its attempts.
type flow struct {
	request           Request
	id                string
	router            *engine.Router
	attempts          int
	delivered         int // tokens that the caller has received
	firstTokenLatency time.Duration
	lastTokenAt       time.Duration
	meanTokenGap      time.Duration // moving average of the time between tokens
	nextSpeculativeAt time.Duration // no speculative attempt starts earlier
	current           *attempt
	speculative       *attempt
	done              bool
	hadColdWait       bool          // has waited for an adapter load
	coldWaitSince     time.Duration // start of the present wait for an adapter load, or -1
}

// attempt is one attempt of a request. It is submitted to one engine after another
// until one grants it.
type attempt struct {
	flow               *flow
	id                 string
	engine             *simEngine
	job                *standin.Job
	granted            bool
	ended              bool
	lastTokenAt        time.Duration
	resumedTokens      int      // tokens delivered before this attempt
	candidates         []string // engines not yet tried
	shortestWaitEngine string   // the refusing engine with the shortest queue wait
	shortestWait       time.Duration
	acceptsAnyWait     bool          // submitted without a limit on the queue wait
	speculative        bool          // runs beside the current attempt
	sawCold            bool          // a candidate refused because it has not loaded the adapter
	maxWait            time.Duration // limit on the queue wait of a migration, or 0
}

func (s *sim) startFlow(i int, r Request) {
	f := &flow{request: r, id: strconv.Itoa(i), router: s.routers[i%entryNodes], lastTokenAt: s.now, coldWaitSince: -1}
	if s.isMeasured(f) {
		s.result.Offered++
		s.latencyOf(f).count++
	}
	f.router.AddHedgeCredit(r.ExpectedTokens)
	f.current = s.startAttempt(f, "", false, 0)
	s.scheduleProgressCheck(f)
}

func (s *sim) isMeasured(f *flow) bool { return f.request.Arrival >= warmUp }

func (s *sim) latencyOf(f *flow) *Latency {
	if f.request.Short {
		return &s.result.Short
	}
	return &s.result.Long
}

// startAttempt submits a new attempt to the first candidate. The attempt has ended
// already if there is no candidate.
func (s *sim) startAttempt(f *flow, exclude string, speculative bool, maxWait time.Duration) *attempt {
	f.attempts++
	a := &attempt{flow: f, id: f.id + "." + strconv.Itoa(f.attempts), resumedTokens: f.delivered, maxWait: maxWait, speculative: speculative}
	a.candidates = s.candidates(f, exclude)
	if len(a.candidates) == 0 {
		a.ended = true
		return a
	}
	s.submit(a)
	return a
}

// submit submits the attempt to its next candidate.
func (s *sim) submit(a *attempt) {
	name := a.candidates[0]
	a.candidates = a.candidates[1:]
	e := s.byName[name]
	a.engine = e
	w := engine.Work{
		ID: a.id, Adapter: a.flow.request.Adapter, Short: a.flow.request.Short, ExpectedTokens: max(1, a.flow.request.ExpectedTokens-a.resumedTokens), PromptTokens: a.flow.request.PromptTokens,
		Deadline: time.Unix(0, 0).Add(a.flow.request.Arrival + a.flow.request.Deadline),
	}
	if s.policy.Oracle {
		w.ExpectedTokens = a.flow.request.OutputTokens
	}
	if !s.policy.LeastLoaded && !s.policy.Oracle && !a.acceptsAnyWait {
		w.MaxWait = a.flow.router.MaxWait(a.flow.request.Short)
	}
	if a.maxWait > 0 {
		w.MaxWait = a.maxWait
	}
	e.waiting[a.id] = a
	cold := !e.hasLoaded(a.flow.request.Adapter)
	e.applyActions(e.scheduler.Submit(s.clock(), w))
	if e.waiting[a.id] == a && cold {
		s.startColdWait(a.flow)
	}
}

// handleRefusal submits the attempt to its next candidate. When all have refused, it
// submits to the one with the shortest wait, this time without a limit on the wait. A
// speculative attempt ends instead.
func (s *sim) handleRefusal(a *attempt, act engine.Action) {
	delete(a.engine.waiting, a.id)
	a.flow.router.ObserveWait(s.clock(), a.engine.name, act.Wait)
	a.sawCold = a.sawCold || act.Reason == engine.Cold
	if (act.Reason == engine.Overflow || act.Reason == engine.Cold) && (a.shortestWaitEngine == "" || act.Wait < a.shortestWait) {
		a.shortestWaitEngine, a.shortestWait = a.engine.name, act.Wait
	}
	switch {
	case len(a.candidates) > 0:
		s.scheduleAfter(admitRoundTrip, func() { s.submit(a) })
		return
	case a.shortestWaitEngine != "" && !a.speculative && !a.acceptsAnyWait:
		a.acceptsAnyWait = true
		if !a.sawCold {
			a.flow.router.RecordOverflow(s.clock(), a.flow.request.Adapter)
		}
		a.candidates = []string{a.shortestWaitEngine}
		s.scheduleAfter(admitRoundTrip, func() { s.submit(a) })
		return
	}
	a.ended = true
	if a.speculative {
		a.flow.speculative = nil
		a.flow.router.RefundHedge()
		if a.maxWait > 0 {
			s.result.Migrations--
		} else {
			s.result.Hedges--
		}
		return
	}
	s.refuseFlow(a.flow)
}

// startColdWait records that a request waits for an adapter load. Requests that are
// refused or cancelled later count too.
func (s *sim) startColdWait(f *flow) {
	if !s.isMeasured(f) || f.delivered > 0 || f.coldWaitSince >= 0 {
		return
	}
	if !f.hadColdWait {
		s.coldWaits++
	}
	f.hadColdWait, f.coldWaitSince = true, s.now
}

func (s *sim) endColdWait(f *flow) {
	if f.coldWaitSince >= 0 {
		s.coldWaitTime += s.now - f.coldWaitSince
		f.coldWaitSince = -1
	}
}

func (s *sim) refuseFlow(f *flow) {
	f.done = true
	s.endColdWait(f)
	if s.isMeasured(f) {
		s.result.Refused++
		s.lastViolation = s.now
	}
}

// deliverToken delivers a token of an attempt to the caller. A speculative attempt that
// is ahead becomes the current one; a token that the caller already has is wasted.
func (s *sim) deliverToken(a *attempt, j *standin.Job) {
	f := a.flow
	if j.Generated-a.resumedTokens > 1 && !s.policy.Oracle {
		f.router.ObserveTokenTime(s.clock(), a.engine.name, s.now-a.lastTokenAt)
	}
	a.lastTokenAt = s.now
	if j.Generated >= j.MaxTokens {
		s.releaseAttempt(a)
	}
	if a == f.speculative && j.Generated > f.delivered {
		s.cancelAttempt(f.current)
		f.current, f.speculative, f.meanTokenGap = a, nil, 0
	}
	if a != f.current || f.done || j.Generated <= f.delivered {
		s.wastedTokens++
		return
	}
	if f.delivered == 0 {
		f.firstTokenLatency = s.now - f.request.Arrival
	}
	if f.delivered > 0 {
		f.meanTokenGap = (f.meanTokenGap + s.now - f.lastTokenAt) / 2
	}
	f.delivered, f.lastTokenAt = j.Generated, s.now
	if f.delivered >= f.request.OutputTokens {
		s.completeFlow(f)
	}
}

func (s *sim) releaseAttempt(a *attempt) {
	if a.ended || !a.granted {
		return
	}
	a.ended = true
	delete(a.engine.running, a.id)
	a.engine.batch.Remove(a.id)
	if n := a.job.Generated - a.resumedTokens; n > 1 {
		a.engine.scheduler.ObserveTokenTime(s.clock(), a.engine.batch.StepTime())
	}
	a.engine.applyActions(a.engine.scheduler.Release(s.clock(), a.id, false))
}

func (s *sim) cancelAttempt(a *attempt) {
	if a == nil || a.ended {
		return
	}
	if a.granted {
		s.releaseAttempt(a)
		return
	}
	a.ended = true
	if a.engine != nil {
		delete(a.engine.waiting, a.id)
		a.engine.applyActions(a.engine.scheduler.Cancel(s.clock(), a.id))
	}
}

func (s *sim) completeFlow(f *flow) {
	f.done = true
	s.cancelAttempt(f.speculative)
	if !s.isMeasured(f) {
		return
	}
	latency := s.now - f.request.Arrival
	s.result.Served++
	s.latencyOf(f).record(f.firstTokenLatency, latency)
	if latency <= f.request.Deadline {
		s.result.InTime++
		s.latencyOf(f).inTime++
		s.result.Goodput += float64(f.request.OutputTokens)
	} else if f.request.Short {
		s.lastViolation = s.now
	}
}

// scheduleProgressCheck checks a request periodically, as an entry node does, and starts
// a hedge or a migration.
func (s *sim) scheduleProgressCheck(f *flow) {
	if !s.policy.Hedge && !s.policy.Migrate {
		return
	}
	d := max(minHedgeDelay, hedgeFactor*f.router.MedianTokenTime())
	if f.delivered > 0 {
		d = max(20*time.Millisecond, stallFactor*f.router.MedianTokenTime())
	}
	s.scheduleAfter(d, func() {
		if f.done {
			return
		}
		s.checkProgress(f)
		s.scheduleProgressCheck(f)
	})
}

func (s *sim) checkProgress(f *flow) {
	if f.speculative != nil || s.now < f.nextSpeculativeAt || f.current == nil || !f.current.granted || f.current.ended {
		return
	}
	engineName := f.current.engine.name
	if f.delivered == 0 {
		if s.policy.Hedge && s.now-f.current.lastTokenAt > hedgeFactor*f.router.MedianTokenTime() && f.router.TryHedge() {
			s.result.Hedges++
			f.speculative = s.startSpeculative(f, engineName, 0)
		}
		return
	}
	gap := s.now - f.lastTokenAt
	if f.router.MedianTokenTime() > 0 && gap > stallFactor*f.router.MedianTokenTime() {
		f.router.ObserveTokenTime(s.clock(), engineName, gap)
	}
	remaining := max(1, f.request.ExpectedTokens-f.delivered)
	gain := f.router.MigrationGain(engineName, max(gap, f.meanTokenGap), remaining, migrationCost*f.router.MedianTokenTime())
	if s.policy.Migrate && gain > 0 && f.router.TryHedge() {
		s.result.Migrations++
		f.speculative = s.startSpeculative(f, engineName, gain/2)
	}
}

func (s *sim) startSpeculative(f *flow, exclude string, maxWait time.Duration) *attempt {
	f.nextSpeculativeAt = s.now + speculativeInterval
	a := s.startAttempt(f, exclude, true, maxWait)
	if a.ended {
		return nil
	}
	return a
}
