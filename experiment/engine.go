package experiment

import (
	"fmt"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

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

func (s *sim) addEngine(i int) {
	cfg := s.p.Scheduler
	cfg.Slots, cfg.BatchSize = s.w.Slots, s.w.BatchSize
	e := &simEngine{
		s: s, index: i, name: fmt.Sprintf("engine-%02d", i), sched: engine.NewScheduler(cfg),
		batch: standin.Batch{Physics: s.w.Timing}, streams: map[string]*attempt{}, waiting: map[string]*attempt{},
	}
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.names = append(s.names, e.name)
}

// holdEverything spares the oracle all loads.
func (e *simEngine) holdEverything() {
	var all []engine.ResidentAdapter
	for _, name := range e.s.w.Popular {
		all = append(all, engine.ResidentAdapter{Adapter: name})
	}
	e.sched.Adopt(time.Time{}, all, nil)
}

func (e *simEngine) holds(adapter string) bool {
	for _, r := range e.sched.Resident() {
		if r.Adapter == adapter {
			return true
		}
	}
	return false
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
		case engine.RequestLoad:
			e.askLoad(act.Demand)
		}
	}
}

func (e *simEngine) askLoad(demand int) {
	s := e.s
	s.seq++
	id := fmt.Sprintf("%s/%d", e.name, s.seq)
	s.loading[id] = func() {
		act, ok := e.sched.ApproveLoad(s.clock())
		if !ok {
			s.budget.Refund(id)
			return
		}
		e.load(id, act)
	}
	s.budget.Request(s.clock(), engine.LoadRequest{ID: id, Demand: demand})
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
	d := s.w.Timing.Load
	if s.transit > s.w.FullSpeedLoads {
		d = d * time.Duration(s.transit) / time.Duration(s.w.FullSpeedLoads)
	}
	s.after(d, func() {
		s.transit--
		s.budget.Finish(id)
		e.apply(e.sched.FinishLoad(s.clock(), engine.LoadResult{Adapter: act.Adapter, Victim: act.Victim, OK: boot == e.boot}))
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
	a.job = &standin.Job{ID: id, Adapter: a.f.r.Adapter, Prompt: a.f.r.PromptTokens, Tokens: a.f.r.OutputTokens, Done: a.start}
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
	if s.now > warmUp && s.now < s.w.Duration {
		s.busySteps++
		s.stepTokens += float64(n)
		s.distinct += float64(e.batch.Distinct())
		p := s.w.Timing
		full := p.Step + time.Duration(s.w.BatchSize)*p.PerRequest + p.PerAdapter
		s.idealTokens += float64(s.w.BatchSize) * float64(e.batch.StepTime()) / float64(full)
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

// restart loses what the engine holds; its streams start again elsewhere.
func (e *simEngine) restart() {
	e.boot++
	streams := e.streams
	e.streams = map[string]*attempt{}
	e.batch = standin.Batch{Physics: e.s.w.Timing}
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
