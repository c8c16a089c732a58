package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/settings"
)

const (
	callIterations    = 3000
	ledgerCalls       = 2000
	ledgerConcurrency = 64
)

// Measure measures all slopes on this machine.
func Measure() (Slopes, error) {
	var s Slopes
	s.IdleProcessBytes = heapBytes()
	measureSettings(&s)
	measureRequestPath(&s)
	if err := measureCalls(&s); err != nil {
		return s, err
	}
	return s, measureLedger(&s)
}

// heapBytes returns the size of all live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used, in nanoseconds.
func cpuTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constants
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerIteration returns the CPU time of run, which does n iterations, divided by n.
func cpuPerIteration(n int, run func()) float64 {
	before := cpuTime()
	run()
	return (cpuTime() - before) / float64(n)
}

// linearFit fits a line to the points by least squares.
func linearFit(x, y []float64) (fixed, slope float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

func adapterDocument(i int) settings.Document {
	return settings.Document{
		Kind: settings.Adapter, Name: fmt.Sprintf("adapter-%06d", i),
		Fields: map[string]string{"base-model": "base-7b", "versions": "v1,v2", "current": "v2"},
	}
}

func callerDocument(i int) settings.Document {
	return settings.Document{
		Kind: settings.Caller, Name: fmt.Sprintf("caller-%06d", i),
		Fields: map[string]string{"branch": "/", "key-hash": fmt.Sprintf("%064x", i)},
	}
}

func branchDocument(i int) settings.Document {
	return settings.Document{
		Kind: settings.Branch, Name: fmt.Sprintf("/branch-%06d", i),
		Fields: map[string]string{"adapter": fmt.Sprintf("adapter-%06d", i), "class": "short", "max-tokens": "200"},
	}
}

func backendDocument(i int) settings.Document {
	return settings.Document{
		Kind: settings.Backend, Name: fmt.Sprintf("engine-%06d", i),
		Fields: map[string]string{
			"address": fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), "base-model": "base-7b", "slots": "16",
			"swap-slots": "2", "places": "32", "checks-fencing": "on",
		},
	}
}

// documentBytes returns the memory per document of a kind, fitted over settings trees of
// several sizes.
func documentBytes(newDocument func(i int) settings.Document) float64 {
	var x, y []float64
	for _, n := range []int{2_000, 5_000, 10_000, 20_000} {
		before := heapBytes()
		docs := make([]settings.Document, n)
		for i := range docs {
			docs[i] = newDocument(i)
		}
		tree := settings.FromSnapshot(1, docs)
		clear(docs)
		x, y = append(x, float64(n)), append(y, heapBytes()-before)
		runtime.KeepAlive(tree)
	}
	_, slope := linearFit(x, y)
	return slope
}

func measureSettings(s *Slopes) {
	s.AdapterBytes = documentBytes(adapterDocument)
	s.CallerBytes = documentBytes(callerDocument)
	s.BranchBytes = documentBytes(branchDocument)
	s.BackendBytes = documentBytes(backendDocument)
	var x, y []float64
	for _, n := range []int{2_000, 8_000, 16_000, 34_000} {
		docs := make([]settings.Document, n)
		for i := range docs {
			docs[i] = adapterDocument(i)
		}
		tree := settings.FromSnapshot(0, docs)
		const rounds = 20
		ns := cpuPerIteration(rounds, func() {
			for i := range rounds {
				var err error
				tree, err = tree.WithChanges(settings.Change{Rev: int64(i + 1), Doc: adapterDocument(i)})
				if err != nil {
					panic(err) // the revisions are consecutive
				}
			}
		})
		x, y = append(x, float64(n)), append(y, ns)
	}
	s.ChangeNs, s.ChangeAdapterNs = linearFit(x, y)
	s.ChangeNs = max(0, s.ChangeNs)
	c := settings.Change{Rev: 123456, ID: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Who: "operator", Why: "new season", When: time.Now(), Old: adapterDocument(1).Fields, Doc: adapterDocument(1)}
	s.ChangeWireBytes = float64(proto.Size(peer.EncodeChange(c)))
	s.ChangeRowBytes = float64(settings.ChangeBytes(c))
}

func measureRequestPath(s *Slopes) {
	const rounds = 200_000
	docs := []settings.Document{adapterDocument(0), adapterDocument(1)}
	name := ""
	for range 12 {
		name += "/level"
		docs = append(docs, settings.Document{Kind: settings.Branch, Name: name, Fields: map[string]string{"adapter": "adapter-000001"}})
	}
	tree := settings.FromSnapshot(1, docs)
	s.ResolveNs = cpuPerIteration(rounds, func() {
		for range rounds {
			e, _ := tree.Branch(name)
			if _, err := tree.Resolve(e, ""); err != nil {
				panic(err) // the adapter exists
			}
		}
	})
	measureScheduler(s, rounds)
	var x, y []float64
	for _, n := range []int{10, 50, 100, 435} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("engine-%06d", i)
		}
		r := engine.NewRouter(engine.RouterConfig{})
		const rounds = 2000
		ns := cpuPerIteration(rounds, func() {
			for i := range rounds {
				r.Candidates(time.Time{}, names[i%n], names, true)
			}
		})
		x, y = append(x, float64(n)), append(y, ns)
	}
	s.RouteFixedNs, s.RouteEngineNs = linearFit(x, y)
	s.RouteFixedNs = max(0, s.RouteFixedNs)
	s.RendezvousNodeNs = s.RouteEngineNs
	owners := make(map[string]string)
	for i := range 10_000 {
		owners[fmt.Sprintf("engine-%06d", i)] = "node-123"
	}
	s.OwnerLookupNs = cpuPerIteration(100*len(owners), func() {
		for range 100 {
			for name := range owners {
				if owners[name] == "" {
					panic("engine without an owner in the lookup table")
				}
			}
		}
	})
	before := heapBytes()
	registry := &peer.Registry{}
	const grants = 20_000
	for i := range grants {
		id := fmt.Sprintf("request-%d", i)
		registry.Register("engine", id)
		_ = registry.Start("engine", id, 1, "adapter@v1", true) // registered on the line before
	}
	s.GrantBytes = (heapBytes() - before) / grants
	runtime.KeepAlive(registry)
}

func measureScheduler(s *Slopes, rounds int) {
	now := time.Unix(0, 0)
	sched := engine.NewScheduler(engine.SchedulerConfig{Slots: 16, BatchSize: 32})
	sched.Adopt(now, []engine.ResidentAdapter{{Adapter: "a@1"}}, nil)
	work := engine.Work{Adapter: "a@1", Short: true, ExpectedTokens: 40, Deadline: now.Add(time.Hour)}
	s.SchedulerNs = cpuPerIteration(rounds, func() {
		for range rounds {
			now = now.Add(time.Millisecond)
			work.ID = "r"
			sched.Submit(now, work)
			sched.Release(now, "r", false)
		}
	})
	s.TickEngineNs = cpuPerIteration(rounds, func() {
		for range rounds {
			sched.Tick(now)
		}
	})
	before := heapBytes()
	longQueue := engine.NewScheduler(engine.SchedulerConfig{Slots: 16, BatchSize: 1, MaxQueue: 1 << 20})
	const waiting = 20_000
	for i := range waiting {
		work.ID, work.Deadline = fmt.Sprintf("request-%d", i), now.Add(1e6*time.Hour)
		longQueue.Submit(now, work)
	}
	s.SchedulerBytes = (heapBytes() - before) / waiting
	runtime.KeepAlive(longQueue)
	budget := engine.LoadBudget{Rate: 1e9, Parallel: 8}
	s.LoadBudgetNs = cpuPerIteration(rounds, func() {
		for range rounds {
			now = now.Add(time.Millisecond)
			budget.Request(now, engine.LoadRequest{ID: "x", Demand: 1})
			budget.Next(now)
			budget.Finish("x")
		}
	})
}
