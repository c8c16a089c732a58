package experiment

import (
	"container/heap"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
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
	budget  engine.LoadBudget
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

// Run plays a workload under a policy.
func Run(w Workload, p Policy) Result {
	s := &sim{w: w, p: p, byName: map[string]*simEngine{}, loading: map[string]func(){}}
	s.res = Result{Workload: w.Name, Policy: p.Name, Short: newLatency(), Long: newLatency()}
	s.budget = engine.LoadBudget{Rate: w.LoadRate, Parallel: w.ParallelLoads}
	for range entryNodes {
		s.routers = append(s.routers, engine.NewRouter(p.Router))
	}
	for i := range w.Engines {
		s.addEngine(i)
	}
	s.warm()
	for i, r := range w.Requests {
		s.at(r.Arrival, func() { s.arrive(i, r) })
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if s.now > w.Duration+2*time.Minute {
			break
		}
	}
	return s.finish()
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
				s.byName[n].sched.Adopt(s.clock(), []engine.ResidentAdapter{{Adapter: a}}, nil)
				break
			}
		}
	}
}

// schedule sets up ticks, reports, spells and restarts.
func (s *sim) schedule() {
	for _, e := range s.engines {
		s.every(tickEvery, func() { e.apply(e.sched.Tick(s.clock())) })
		s.every(reportLag, func() { e.report = len(e.streams) + len(e.waiting) })
	}
	for _, sp := range s.w.Slowdowns {
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
		if s.now < s.w.Duration+time.Minute {
			s.after(d, next)
		}
	}
	s.at(d, next)
}

func (s *sim) finish() Result {
	r := &s.res
	r.Short.finish()
	r.Long.finish()
	span := (s.w.Duration - warmUp).Seconds()
	r.Goodput /= span
	if r.Offered > 0 {
		r.ColdWaitShare = float64(s.stalls) / float64(r.Offered)
	}
	if s.stalls > 0 {
		r.ColdWaitSeconds = s.stallTime.Seconds() / float64(s.stalls)
	}
	if s.busySteps > 0 {
		r.MeanBatchSize, r.MeanAdapters = s.stepTokens/s.busySteps, s.distinct/s.busySteps
		r.Efficiency = s.stepTokens / s.idealTokens
	}
	if s.generated > 0 {
		r.WastedShare = s.wasted / s.generated
	}
	r.PeakLoadsPerSecond = peak(s.loadTimes)
	r.RecoverySeconds = max(0, (s.lastBad - crestEnd).Seconds())
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
