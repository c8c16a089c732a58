package experiment

import (
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// flow is one request on its way.
type flow struct {
	r        Request
	id       string
	router   *engine.Router
	attempts int
	tokens   int // tokens that the caller has
	first    time.Duration
	lastAt   time.Duration
	gap      time.Duration // moving average of the time between tokens
	next     time.Duration // no second attempt before
	current  *attempt
	spare    *attempt
	done     bool
	stalled  bool          // it has waited for a load
	coldAt   time.Duration // since when it waits for a load, or -1
}

// attempt is one try of a request at one engine.
type attempt struct {
	f       *flow
	id      string
	eng     *simEngine
	job     *standin.Job
	granted bool
	ended   bool
	lastAt  time.Duration
	start   int // tokens of the answer before this attempt
	others  []string
	least   string // where the shortest wait was named
	wait    time.Duration
	final   bool
	spare   bool // a second attempt beside another
	cold    bool // some choice does not hold the adapter
	maxWait time.Duration
}

func (s *sim) arrive(i int, r Request) {
	f := &flow{r: r, id: strconv.Itoa(i), router: s.routers[i%entryNodes], lastAt: s.now, coldAt: -1}
	if s.counts(f) {
		s.res.Offered++
		s.class(f).count++
	}
	f.router.AddHedgeCredit(r.ExpectedTokens)
	f.current = s.try(f, "", false, 0)
	s.watch(f)
}

func (s *sim) counts(f *flow) bool { return f.r.Arrival >= warmUp }

func (s *sim) class(f *flow) *Latency {
	if f.r.Short {
		return &s.res.Short
	}
	return &s.res.Long
}

// try starts an attempt: it asks the candidates in turn.
func (s *sim) try(f *flow, exclude string, spare bool, maxWait time.Duration) *attempt {
	f.attempts++
	a := &attempt{f: f, id: f.id + "." + strconv.Itoa(f.attempts), start: f.tokens, maxWait: maxWait, spare: spare}
	a.others = s.candidates(f, exclude)
	if len(a.others) == 0 {
		a.ended = true
		return a
	}
	s.ask(a)
	return a
}

// ask offers the attempt to its next candidate.
func (s *sim) ask(a *attempt) {
	name := a.others[0]
	a.others = a.others[1:]
	e := s.byName[name]
	a.eng = e
	w := engine.Work{
		ID: a.id, Adapter: a.f.r.Adapter, Short: a.f.r.Short, ExpectedTokens: max(1, a.f.r.ExpectedTokens-a.start), PromptTokens: a.f.r.PromptTokens,
		Deadline: time.Unix(0, 0).Add(a.f.r.Arrival + a.f.r.Deadline),
	}
	if s.p.Oracle {
		w.ExpectedTokens = a.f.r.OutputTokens
	}
	if !s.p.LeastLoaded && !s.p.Oracle && !a.final {
		w.MaxWait = a.f.router.MaxWait(a.f.r.Short)
	}
	if a.maxWait > 0 {
		w.MaxWait = a.maxWait
	}
	e.waiting[a.id] = a
	cold := !e.holds(a.f.r.Adapter)
	e.apply(e.sched.Submit(s.clock(), w))
	if e.waiting[a.id] == a && cold {
		s.stall(a.f)
	}
}

// refused moves an attempt to its next candidate, or ends it.
func (s *sim) refused(a *attempt, act engine.Action) {
	delete(a.eng.waiting, a.id)
	a.f.router.ObserveWait(s.clock(), a.eng.name, act.Wait)
	a.cold = a.cold || act.Reason == engine.Cold
	if (act.Reason == engine.Overflow || act.Reason == engine.Cold) && (a.least == "" || act.Wait < a.wait) {
		a.least, a.wait = a.eng.name, act.Wait
	}
	switch {
	case len(a.others) > 0:
		s.after(askDelay, func() { s.ask(a) })
		return
	case a.least != "" && !a.spare && !a.final:
		a.final = true
		if !a.cold {
			a.f.router.RecordOverflow(s.clock(), a.f.r.Adapter)
		}
		a.others = []string{a.least}
		s.after(askDelay, func() { s.ask(a) })
		return
	}
	a.ended = true
	if a.spare {
		a.f.spare = nil
		a.f.router.RefundHedge()
		if a.maxWait > 0 {
			s.res.Migrations--
		} else {
			s.res.Hedges--
		}
		return
	}
	s.giveUp(a.f)
}

// stall counts a request that waits for a load, whatever becomes of it.
func (s *sim) stall(f *flow) {
	if !s.counts(f) || f.tokens > 0 || f.coldAt >= 0 {
		return
	}
	if !f.stalled {
		s.stalls++
	}
	f.stalled, f.coldAt = true, s.now
}

func (s *sim) unstall(f *flow) {
	if f.coldAt >= 0 {
		s.stallTime += s.now - f.coldAt
		f.coldAt = -1
	}
}

func (s *sim) giveUp(f *flow) {
	f.done = true
	s.unstall(f)
	if s.counts(f) {
		s.res.Refused++
		s.lastBad = s.now
	}
}

// token passes a token of an attempt on to its caller.
func (s *sim) token(a *attempt, j *standin.Job) {
	f := a.f
	if j.Done-a.start > 1 && !s.p.Oracle {
		f.router.ObserveTokenTime(s.clock(), a.eng.name, s.now-a.lastAt)
	}
	a.lastAt = s.now
	if j.Done >= j.Tokens {
		s.release(a)
	}
	if a == f.spare && j.Done > f.tokens {
		s.cancel(f.current)
		f.current, f.spare, f.gap = a, nil, 0
	}
	if a != f.current || f.done || j.Done <= f.tokens {
		s.wasted++
		return
	}
	if f.tokens == 0 {
		f.first = s.now - f.r.Arrival
	}
	if f.tokens > 0 {
		f.gap = (f.gap + s.now - f.lastAt) / 2
	}
	f.tokens, f.lastAt = j.Done, s.now
	if f.tokens >= f.r.OutputTokens {
		s.served(f)
	}
}

func (s *sim) release(a *attempt) {
	if a.ended || !a.granted {
		return
	}
	a.ended = true
	delete(a.eng.streams, a.id)
	a.eng.batch.Remove(a.id)
	if n := a.job.Done - a.start; n > 1 {
		a.eng.sched.ObserveTokenTime(s.clock(), a.eng.batch.StepTime())
	}
	a.eng.apply(a.eng.sched.Release(s.clock(), a.id, false))
}

func (s *sim) cancel(a *attempt) {
	if a == nil || a.ended {
		return
	}
	if a.granted {
		s.release(a)
		return
	}
	a.ended = true
	if a.eng != nil {
		delete(a.eng.waiting, a.id)
		a.eng.apply(a.eng.sched.Cancel(s.clock(), a.id))
	}
}

func (s *sim) served(f *flow) {
	f.done = true
	s.cancel(f.spare)
	if !s.counts(f) {
		return
	}
	whole := s.now - f.r.Arrival
	s.res.Served++
	s.class(f).record(f.first, whole)
	if whole <= f.r.Deadline {
		s.res.InTime++
		s.class(f).inTime++
		s.res.Goodput += float64(f.r.OutputTokens)
	} else if f.r.Short {
		s.lastBad = s.now
	}
}

// watch looks at a request from time to time as an entry node does, and starts
// a hedge or a move.
func (s *sim) watch(f *flow) {
	if !s.p.Hedge && !s.p.Migrate {
		return
	}
	d := max(hedgeFloor, hedgeSteps*f.router.MedianTokenTime())
	if f.tokens > 0 {
		d = max(20*time.Millisecond, stallSteps*f.router.MedianTokenTime())
	}
	s.after(d, func() {
		if f.done {
			return
		}
		s.look(f)
		s.watch(f)
	})
}

func (s *sim) look(f *flow) {
	if f.spare != nil || s.now < f.next || f.current == nil || !f.current.granted || f.current.ended {
		return
	}
	name := f.current.eng.name
	if f.tokens == 0 {
		if s.p.Hedge && s.now-f.current.lastAt > hedgeSteps*f.router.MedianTokenTime() && f.router.TryHedge() {
			s.res.Hedges++
			f.spare = s.tryspare(f, name, 0)
		}
		return
	}
	gap := s.now - f.lastAt
	if f.router.MedianTokenTime() > 0 && gap > stallSteps*f.router.MedianTokenTime() {
		f.router.ObserveTokenTime(s.clock(), name, gap)
	}
	remaining := max(1, f.r.ExpectedTokens-f.tokens)
	saved := f.router.MigrationGain(name, max(gap, f.gap), remaining, restartCost*f.router.MedianTokenTime())
	if s.p.Migrate && saved > 0 && f.router.TryHedge() {
		s.res.Migrations++
		f.spare = s.tryspare(f, name, saved/2)
	}
}

func (s *sim) tryspare(f *flow, exclude string, maxWait time.Duration) *attempt {
	f.next = s.now + sparePause
	a := s.try(f, exclude, true, maxWait)
	if a.ended {
		return nil
	}
	return a
}
