package experiment

import (
	"container/heap"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	entryNodes          = 7
	tickInterval        = 100 * time.Millisecond
	reportInterval      = time.Second          // between load reports of an engine
	admitRoundTrip      = 2 * time.Millisecond // of a request to an owner
	minHedgeDelay       = 100 * time.Millisecond
	hedgeFactor         = 8                      // median token times without a first token before a hedge
	stallFactor         = 5                      // median token times without a token that count as a stall
	migrationCost       = 12                     // median token times
	speculativeInterval = 300 * time.Millisecond // between speculative attempts of a request
)

// sim is the state of one run.
type sim struct {
	workload      Workload
	policy        Policy
	now           time.Duration
	seq           int // numbers events and loads
	events        eventHeap
	engines       []*simEngine
	byName        map[string]*simEngine
	names         []string
	routers       []*engine.Router
	budget        engine.LoadBudget
	pendingLoads  map[string]func() // start functions of loads that wait for the budget, by load ID
	loadsInFlight int
	result        Result

	measuredSteps, stepTokens, stepAdapters float64
	idealTokens                             float64 // with full batches of one adapter
	generatedTokens, wastedTokens           float64
	loadTimes                               []time.Duration
	coldWaits                               int
	coldWaitTime                            time.Duration
	lastViolation                           time.Duration // last refusal or late short response
}

// Run simulates a workload under a policy.
func Run(w Workload, p Policy) Result {
	s := &sim{workload: w, policy: p, byName: map[string]*simEngine{}, pendingLoads: map[string]func(){}}
	s.result = Result{Workload: w.Name, Policy: p.Name, Short: newLatency(), Long: newLatency()}
	s.budget = engine.LoadBudget{Rate: w.LoadRate, Parallel: w.ParallelLoads}
	for range entryNodes {
		s.routers = append(s.routers, engine.NewRouter(p.Router))
	}
	for i := range w.Engines {
		s.addEngine(i)
	}
	s.preloadAdapters()
	for i, r := range w.Requests {
		s.scheduleAt(r.Arrival, func() { s.startFlow(i, r) })
	}
	s.scheduleEngineEvents()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		if s.now > w.Duration+2*time.Minute {
			break
		}
	}
	return s.summarize()
}

// preloadAdapters makes the most popular adapters resident, as they would be after a day
// of traffic: each at the first engine of its rendezvous order that has a free slot.
func (s *sim) preloadAdapters() {
	if s.policy.Oracle {
		for _, e := range s.engines {
			e.adoptAllAdapters()
		}
		return
	}
	free := make(map[string]int)
	for _, n := range s.names {
		free[n] = s.workload.Slots
	}
	for _, a := range s.workload.Popular[:s.workload.Slots*s.workload.Engines] {
		for _, n := range engine.Rendezvous(a, s.names, nil, len(s.names)) {
			if free[n] > 0 {
				free[n]--
				s.byName[n].scheduler.Adopt(s.clock(), []engine.ResidentAdapter{{Adapter: a}}, nil)
				break
			}
		}
	}
}

// scheduleEngineEvents schedules the scheduler ticks, load reports, slowdowns and
// restarts of all engines.
func (s *sim) scheduleEngineEvents() {
	for _, e := range s.engines {
		s.scheduleEvery(tickInterval, func() { e.applyActions(e.scheduler.Tick(s.clock())) })
		s.scheduleEvery(reportInterval, func() { e.reportedLoad = len(e.running) + len(e.waiting) })
	}
	for _, slowdown := range s.workload.Slowdowns {
		e := s.engines[slowdown.Engine]
		s.scheduleAt(slowdown.From, func() { e.batch.Slowdown = slowdown.Factor })
		s.scheduleAt(slowdown.To, func() { e.batch.Slowdown = 1 })
	}
	for i, t := range s.workload.Restarts {
		s.scheduleAt(t, s.engines[i].restart)
	}
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) scheduleAt(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, do})
}

func (s *sim) scheduleAfter(d time.Duration, do func()) { s.scheduleAt(s.now+d, do) }

func (s *sim) scheduleEvery(d time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		if s.now < s.workload.Duration+time.Minute {
			s.scheduleAfter(d, next)
		}
	}
	s.scheduleAt(d, next)
}

func (s *sim) summarize() Result {
	r := &s.result
	r.Short.computeQuantiles()
	r.Long.computeQuantiles()
	span := (s.workload.Duration - warmUp).Seconds()
	r.Goodput /= span
	if r.Offered > 0 {
		r.ColdWaitShare = float64(s.coldWaits) / float64(r.Offered)
	}
	if s.coldWaits > 0 {
		r.ColdWaitSeconds = s.coldWaitTime.Seconds() / float64(s.coldWaits)
	}
	if s.measuredSteps > 0 {
		r.MeanBatchSize, r.MeanAdapters = s.stepTokens/s.measuredSteps, s.stepAdapters/s.measuredSteps
		r.Efficiency = s.stepTokens / s.idealTokens
	}
	if s.generatedTokens > 0 {
		r.WastedShare = s.wastedTokens / s.generatedTokens
	}
	r.PeakLoadsPerSecond = peakPerSecond(s.loadTimes)
	r.RecoverySeconds = max(0, (s.lastViolation - overloadEnd).Seconds())
	return *r
}

// overloadEnd is the time at which the overload of [CouncilOverload] ends.
const overloadEnd = 62 * time.Second

// peakPerSecond returns the largest number of times within any one second.
func peakPerSecond(times []time.Duration) int {
	peak := 0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] >= time.Second {
			i++
		}
		peak = max(peak, j-i+1)
	}
	return peak
}
