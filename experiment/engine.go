package experiment

import (
	"fmt"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// simEngine is a simulated engine with the scheduler that its owner runs.
type simEngine struct {
	s             *sim
	index         int
	name          string
	scheduler     *engine.Scheduler
	batch         standin.Batch
	stepScheduled bool
	boot          int                 // counts restarts
	running       map[string]*attempt // by attempt ID
	waiting       map[string]*attempt // by attempt ID
	reportedLoad  int                 // running and waiting attempts in the last load report
}

func (s *sim) addEngine(i int) {
	cfg := s.policy.Scheduler
	cfg.Slots, cfg.BatchSize = s.workload.Slots, s.workload.BatchSize
	e := &simEngine{
		s: s, index: i, name: fmt.Sprintf("engine-%02d", i), scheduler: engine.NewScheduler(cfg),
		batch: standin.Batch{Timing: s.workload.Timing}, running: map[string]*attempt{}, waiting: map[string]*attempt{},
	}
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.names = append(s.names, e.name)
}

// adoptAllAdapters makes every adapter resident, so that the oracle needs no loads.
func (e *simEngine) adoptAllAdapters() {
	var all []engine.ResidentAdapter
	for _, name := range e.s.workload.Popular {
		all = append(all, engine.ResidentAdapter{Adapter: name})
	}
	e.scheduler.Adopt(time.Time{}, all, nil)
}

func (e *simEngine) hasLoaded(adapter string) bool {
	for _, r := range e.scheduler.Resident() {
		if r.Adapter == adapter {
			return true
		}
	}
	return false
}

// applyActions carries out the actions that the scheduler returned.
func (e *simEngine) applyActions(acts []engine.Action) {
	for _, act := range acts {
		switch act.Kind {
		case engine.Grant:
			e.startStream(act.Work.ID)
		case engine.Refuse:
			if a := e.waiting[act.Work.ID]; a != nil {
				e.s.handleRefusal(a, act)
			}
		case engine.RequestLoad:
			e.requestLoad(act.Demand)
		}
	}
}

func (e *simEngine) requestLoad(demand int) {
	s := e.s
	s.seq++
	id := fmt.Sprintf("%s/%d", e.name, s.seq)
	s.pendingLoads[id] = func() {
		act, ok := e.scheduler.ApproveLoad(s.clock())
		if !ok {
			s.budget.Refund(id)
			return
		}
		e.startLoad(id, act)
	}
	s.budget.Request(s.clock(), engine.LoadRequest{ID: id, Demand: demand})
	s.startApprovedLoads()
}

func (e *simEngine) startLoad(id string, act engine.Action) {
	s := e.s
	boot := e.boot
	s.result.Loads++
	s.loadTimes = append(s.loadTimes, s.now)
	if act.Victim != "" {
		s.result.Evictions++
	}
	s.loadsInFlight++
	loadTime := s.workload.Timing.AdapterLoad
	if s.loadsInFlight > s.workload.FullSpeedLoads {
		loadTime = loadTime * time.Duration(s.loadsInFlight) / time.Duration(s.workload.FullSpeedLoads)
	}
	s.scheduleAfter(loadTime, func() {
		s.loadsInFlight--
		s.budget.Finish(id)
		e.applyActions(e.scheduler.FinishLoad(s.clock(), engine.LoadResult{Adapter: act.Adapter, Victim: act.Victim, OK: boot == e.boot}))
		s.startApprovedLoads()
	})
}

// startApprovedLoads starts every load that the budget allows now, and runs again when
// the budget can allow the next one.
func (s *sim) startApprovedLoads() {
	for {
		id, ok, retryAt := s.budget.Next(s.clock())
		if !ok {
			if !retryAt.IsZero() {
				s.scheduleAt(retryAt.Sub(time.Unix(0, 0)), s.startApprovedLoads)
			}
			return
		}
		start := s.pendingLoads[id]
		delete(s.pendingLoads, id)
		start()
	}
}

func (e *simEngine) startStream(id string) {
	a := e.waiting[id]
	if a == nil {
		return
	}
	delete(e.waiting, id)
	if a.ended || a.flow.done {
		e.applyActions(e.scheduler.Release(e.s.clock(), id, false))
		return
	}
	e.s.endColdWait(a.flow)
	a.granted, a.lastTokenAt = true, e.s.now
	a.job = &standin.Job{ID: id, Adapter: a.flow.request.Adapter, PromptTokens: a.flow.request.PromptTokens, MaxTokens: a.flow.request.OutputTokens, Generated: a.resumedTokens}
	e.running[id] = a
	e.batch.Add(a.job)
	e.scheduleStep()
}

func (e *simEngine) scheduleStep() {
	if e.stepScheduled || e.batch.Len() == 0 {
		return
	}
	e.stepScheduled = true
	boot := e.boot
	e.s.scheduleAfter(e.batch.StepTime(), func() {
		e.stepScheduled = false
		if boot == e.boot {
			e.runStep()
		}
		e.scheduleStep()
	})
}

// runStep completes one step of the batch, which generates one token for every stream.
func (e *simEngine) runStep() {
	s := e.s
	n := e.batch.Len()
	if s.now > warmUp && s.now < s.workload.Duration {
		s.measuredSteps++
		s.stepTokens += float64(n)
		s.stepAdapters += float64(e.batch.DistinctAdapters())
		timing := s.workload.Timing
		full := timing.BaseStep + time.Duration(s.workload.BatchSize)*timing.PerRequest + timing.PerAdapter
		s.idealTokens += float64(s.workload.BatchSize) * float64(e.batch.StepTime()) / float64(full)
	}
	jobs := append([]*standin.Job(nil), e.batch.Jobs()...)
	e.batch.Step()
	for _, j := range jobs {
		if a := e.running[j.ID]; a != nil {
			s.generatedTokens++
			s.deliverToken(a, j)
		}
	}
}

// restart restarts the engine without adapters. A request whose current attempt ran here
// gets a new attempt; speculative attempts are dropped.
func (e *simEngine) restart() {
	e.boot++
	streams := e.running
	e.running = map[string]*attempt{}
	e.batch = standin.Batch{Timing: e.s.workload.Timing}
	for id := range streams {
		e.applyActions(e.scheduler.Release(e.s.clock(), id, false))
	}
	e.applyActions(e.scheduler.Reset(e.s.clock()))
	if e.s.policy.Oracle {
		e.adoptAllAdapters()
	}
	for _, a := range streams {
		a.ended = true
		if f := a.flow; !f.done && a == f.current {
			f.current = e.s.startAttempt(f, "", false, 0)
		} else if a == f.speculative {
			f.speculative = nil
		}
	}
}
