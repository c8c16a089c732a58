package experiment

import (
	"container/heap"
	"fmt"
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	entryNodes  = 7
	tickEvery   = 100 * time.Millisecond
	reportLag   = time.Second
	askDelay    = 2 * time.Millisecond // one question to an owner and its answer
	hedgeFloor  = 100 * time.Millisecond
	hedgeSteps  = 8
	stallSteps  = 5
	restartCost = 12 // in median times between tokens
	sparePause  = 300 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int // keeps events of one time in the order in which they were made
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim is one run.
type sim struct {
	w       Workload
	p       Policy
	now     time.Duration
	seq     int
	events  eventHeap
	engines []*simEngine
	byName  map[string]*simEngine
	names   []string
	routers []*engine.Router
	budget  engine.Budget
	loading map[string]func() // waits for the budget, by load id
	transit int
	res     Result

	busySteps, stepTokens, distinct float64
	idealTokens                     float64
	generated, wasted               float64
	loadTimes                       []time.Duration
	stalls                          int
	stallTime                       time.Duration
	lastBad                         time.Duration
}

// simEngine is an engine with the scheduler of its owner.
type simEngine struct {
	s       *sim
	index   int
	name    string
	sched   *engine.Scheduler
	batch   standin.Batch
	running bool
	boot    int
	streams map[string]*attempt
	waiting map[string]*attempt
	report  int // running and waiting, as the last report said
}

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

// Run plays a workload under a policy.
func Run(w Workload, p Policy) Result {
	s := &sim{w: w, p: p, byName: map[string]*simEngine{}, loading: map[string]func(){}}
	s.res = Result{Workload: w.Name, Policy: p.Name, Short: newLatency(), Long: newLatency()}
	s.budget = engine.Budget{Rate: w.LoadRate, Parallel: w.LoadAtOnce}
	for range entryNodes {
		s.routers = append(s.routers, engine.NewRouter(p.Router))
	}
	for i := range w.Engines {
		s.addEngine(i)
	}
	s.warm()
	for i, r := range w.Requests {
		s.at(r.At, func() { s.arrive(i, r) })
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if s.now > w.Length+2*time.Minute {
			break
		}
	}
	return s.finish()
}

func (s *sim) addEngine(i int) {
	cfg := s.p.Scheduler
	cfg.Slots, cfg.Places = s.w.Slots, s.w.Places
	e := &simEngine{
		s: s, index: i, name: fmt.Sprintf("engine-%02d", i), sched: engine.NewScheduler(cfg),
		batch: standin.Batch{Physics: s.w.Physics}, streams: map[string]*attempt{}, waiting: map[string]*attempt{},
	}
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.names = append(s.names, e.name)
}

// warm lets the engines hold what they would have held the day before: the
// popular adapters, each at its first choice with room.
func (s *sim) warm() {
	if s.p.Oracle {
		for _, e := range s.engines {
			e.holdEverything()
		}
		return
	}
	free := make(map[string]int)
	for _, n := range s.names {
		free[n] = s.w.Slots
	}
	for _, a := range s.w.Popular[:s.w.Slots*s.w.Engines] {
		for _, n := range engine.Rendezvous(a, s.names, nil, len(s.names)) {
			if free[n] > 0 {
				free[n]--
				s.byName[n].sched.Adopt(s.clock(), []engine.Resident{{Adapter: a}}, nil)
				break
			}
		}
	}
}

// holdEverything spares the oracle all loads.
func (e *simEngine) holdEverything() {
	var all []engine.Resident
	for _, name := range e.s.w.Popular {
		all = append(all, engine.Resident{Adapter: name})
	}
	e.sched.Adopt(time.Time{}, all, nil)
}

// schedule sets up ticks, reports, spells and restarts.
func (s *sim) schedule() {
	for _, e := range s.engines {
		s.every(tickEvery, func() { e.apply(e.sched.Tick(s.clock())) })
		s.every(reportLag, func() { e.report = len(e.streams) + len(e.waiting) })
	}
	for _, sp := range s.w.Spells {
		e := s.engines[sp.Engine]
		s.at(sp.From, func() { e.batch.Slow = sp.Factor })
		s.at(sp.To, func() { e.batch.Slow = 1 })
	}
	for i, t := range s.w.Restarts {
		s.at(t, s.engines[i].restart)
	}
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) every(d time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		if s.now < s.w.Length+time.Minute {
			s.after(d, next)
		}
	}
	s.at(d, next)
}

func (s *sim) arrive(i int, r Request) {
	f := &flow{r: r, id: strconv.Itoa(i), router: s.routers[i%entryNodes], lastAt: s.now, coldAt: -1}
	if s.counts(f) {
		s.res.Offered++
		s.class(f).count++
	}
	f.router.Admit(r.Expected)
	f.current = s.try(f, "", false, 0)
	s.watch(f)
}

func (s *sim) counts(f *flow) bool { return f.r.At >= warmUp }

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

func (s *sim) candidates(f *flow, exclude string) []string {
	names := s.names
	if exclude != "" {
		names = nil
		for _, n := range s.names {
			if n != exclude {
				names = append(names, n)
			}
		}
	}
	switch {
	case s.p.Oracle:
		return []string{s.leastBusy(names)}
	case s.p.LeastLoaded:
		return []string{s.leastReported(names, f.r.Adapter)}
	}
	return f.router.Candidates(s.clock(), f.r.Adapter, names, f.r.Short)
}

// leastBusy knows the true state: the work that is left, and slow spells.
func (s *sim) leastBusy(names []string) string {
	best, bestLoad := "", 0.0
	for _, n := range names {
		e := s.byName[n]
		load := float64(len(e.streams)+len(e.waiting)+1) * max(1, e.batch.Slow)
		if best == "" || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

// leastReported prefers engines that hold the adapter, by the late reports.
func (s *sim) leastReported(names []string, adapter string) string {
	best, bestLoad, bestHolds := "", 0, false
	for _, n := range names {
		e := s.byName[n]
		holds := e.holds(adapter)
		if best == "" || holds && !bestHolds || holds == bestHolds && e.report < bestLoad {
			best, bestLoad, bestHolds = n, e.report, holds
		}
	}
	return best
}

func (e *simEngine) holds(adapter string) bool {
	for _, r := range e.sched.Resident() {
		if r.Adapter == adapter {
			return true
		}
	}
	return false
}

// ask offers the attempt to its next candidate.
func (s *sim) ask(a *attempt) {
	name := a.others[0]
	a.others = a.others[1:]
	e := s.byName[name]
	a.eng = e
	w := engine.Work{
		ID: a.id, Adapter: a.f.r.Adapter, Short: a.f.r.Short, Tokens: max(1, a.f.r.Expected-a.start), Prompt: a.f.r.Prompt,
		Deadline: time.Unix(0, 0).Add(a.f.r.At + a.f.r.Deadline),
	}
	if s.p.Oracle {
		w.Tokens = a.f.r.Tokens
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
			a.f.router.Overflowed(s.clock(), a.f.r.Adapter)
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
			s.res.Moves--
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

// apply carries out what a scheduler asked for.
func (e *simEngine) apply(acts []engine.Action) {
	for _, act := range acts {
		switch act.Kind {
		case engine.Grant:
			e.start(act.Work.ID)
		case engine.Refuse:
			if a := e.waiting[act.Work.ID]; a != nil {
				e.s.refused(a, act)
			}
		case engine.AskLoad:
			e.askLoad(act.Demand)
		}
	}
}

func (e *simEngine) askLoad(demand int) {
	s := e.s
	s.seq++
	id := fmt.Sprintf("%s/%d", e.name, s.seq)
	s.loading[id] = func() {
		act, ok := e.sched.Permit(s.clock())
		if !ok {
			s.budget.Return(id)
			return
		}
		e.load(id, act)
	}
	s.budget.Ask(s.clock(), engine.LoadRequest{ID: id, Demand: demand})
	s.pump()
}

func (e *simEngine) load(id string, act engine.Action) {
	s := e.s
	boot := e.boot
	s.res.Loads++
	s.loadTimes = append(s.loadTimes, s.now)
	if act.Victim != "" {
		s.res.Evictions++
	}
	s.transit++
	d := s.w.Physics.Load
	if s.transit > s.w.LoadTransit {
		d = d * time.Duration(s.transit) / time.Duration(s.w.LoadTransit)
	}
	s.after(d, func() {
		s.transit--
		s.budget.Done(id)
		e.apply(e.sched.Loaded(s.clock(), engine.LoadResult{Adapter: act.Adapter, Victim: act.Victim, OK: boot == e.boot}))
		s.pump()
	})
}

// pump starts the loads that the budget allows.
func (s *sim) pump() {
	for {
		id, ok, again := s.budget.Next(s.clock())
		if !ok {
			if !again.IsZero() {
				s.at(again.Sub(time.Unix(0, 0)), s.pump)
			}
			return
		}
		start := s.loading[id]
		delete(s.loading, id)
		start()
	}
}

func (e *simEngine) start(id string) {
	a := e.waiting[id]
	if a == nil {
		return
	}
	delete(e.waiting, id)
	if a.ended || a.f.done {
		e.apply(e.sched.Release(e.s.clock(), id, false))
		return
	}
	e.s.unstall(a.f)
	a.granted, a.lastAt = true, e.s.now
	a.job = &standin.Job{ID: id, Adapter: a.f.r.Adapter, Prompt: a.f.r.Prompt, Tokens: a.f.r.Tokens, Done: a.start}
	e.streams[id] = a
	e.batch.Add(a.job)
	e.wake()
}

func (e *simEngine) wake() {
	if e.running || e.batch.Len() == 0 {
		return
	}
	e.running = true
	boot := e.boot
	e.s.after(e.batch.StepTime(), func() {
		e.running = false
		if boot == e.boot {
			e.step()
		}
		e.wake()
	})
}

// step ends one step of the batch: every stream has a token more.
func (e *simEngine) step() {
	s := e.s
	n := e.batch.Len()
	if s.now > warmUp && s.now < s.w.Length {
		s.busySteps++
		s.stepTokens += float64(n)
		s.distinct += float64(e.batch.Distinct())
		p := s.w.Physics
		full := p.Step + time.Duration(s.w.Places)*p.PerRequest + p.PerAdapter
		s.idealTokens += float64(s.w.Places) * float64(e.batch.StepTime()) / float64(full)
	}
	jobs := append([]*standin.Job(nil), e.batch.Jobs()...)
	e.batch.Step()
	for _, j := range jobs {
		if a := e.streams[j.ID]; a != nil {
			s.generated++
			s.token(a, j)
		}
	}
}

// token passes a token of an attempt on to its caller.
func (s *sim) token(a *attempt, j *standin.Job) {
	f := a.f
	if j.Done-a.start > 1 && !s.p.Oracle {
		f.router.ObserveToken(s.clock(), a.eng.name, s.now-a.lastAt)
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
		f.first = s.now - f.r.At
	}
	if f.tokens > 0 {
		f.gap = (f.gap + s.now - f.lastAt) / 2
	}
	f.tokens, f.lastAt = j.Done, s.now
	if f.tokens >= f.r.Tokens {
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
	whole := s.now - f.r.At
	s.res.Served++
	s.class(f).record(f.first, whole)
	if whole <= f.r.Deadline {
		s.res.InTime++
		s.class(f).inTime++
		s.res.Goodput += float64(f.r.Tokens)
	} else if f.r.Short {
		s.lastBad = s.now
	}
}

// watch looks at a request from time to time as an entry node does, and starts
// a hedge or a move.
func (s *sim) watch(f *flow) {
	if !s.p.Hedge && !s.p.Move {
		return
	}
	d := max(hedgeFloor, hedgeSteps*f.router.Median())
	if f.tokens > 0 {
		d = max(20*time.Millisecond, stallSteps*f.router.Median())
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
		if s.p.Hedge && s.now-f.current.lastAt > hedgeSteps*f.router.Median() && f.router.SpendHedge() {
			s.res.Hedges++
			f.spare = s.tryspare(f, name, 0)
		}
		return
	}
	gap := s.now - f.lastAt
	if f.router.Median() > 0 && gap > stallSteps*f.router.Median() {
		f.router.ObserveToken(s.clock(), name, gap)
	}
	remaining := max(1, f.r.Expected-f.tokens)
	saved := f.router.ShouldMove(name, max(gap, f.gap), remaining, restartCost*f.router.Median())
	if s.p.Move && saved > 0 && f.router.SpendHedge() {
		s.res.Moves++
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

// restart loses what the engine holds; its streams start again elsewhere.
func (e *simEngine) restart() {
	e.boot++
	streams := e.streams
	e.streams = map[string]*attempt{}
	e.batch = standin.Batch{Physics: e.s.w.Physics}
	for id := range streams {
		e.apply(e.sched.Release(e.s.clock(), id, false))
	}
	e.apply(e.sched.Reset(e.s.clock()))
	if e.s.p.Oracle {
		e.holdEverything()
	}
	for _, a := range streams {
		a.ended = true
		if f := a.f; !f.done && a == f.current {
			f.current = e.s.try(f, "", false, 0)
		} else if a == f.spare {
			f.spare = nil
		}
	}
}

func (s *sim) finish() Result {
	r := &s.res
	r.Short.finish()
	r.Long.finish()
	span := (s.w.Length - warmUp).Seconds()
	r.Goodput /= span
	if r.Offered > 0 {
		r.StallShare = float64(s.stalls) / float64(r.Offered)
	}
	if s.stalls > 0 {
		r.StallSeconds = s.stallTime.Seconds() / float64(s.stalls)
	}
	if s.busySteps > 0 {
		r.Batch, r.Distinct = s.stepTokens/s.busySteps, s.distinct/s.busySteps
		r.Efficiency = s.stepTokens / s.idealTokens
	}
	if s.generated > 0 {
		r.Wasted = s.wasted / s.generated
	}
	r.PeakLoads = peak(s.loadTimes)
	r.Recovery = max(0, (s.lastBad - crestEnd).Seconds())
	return *r
}

// crestEnd is when the overload of [CouncilOverload] has ended.
const crestEnd = 62 * time.Second

// peak returns the most times within any one second.
func peak(times []time.Duration) int {
	most := 0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}
