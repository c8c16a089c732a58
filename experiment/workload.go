package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/vanilladrift/vanilladrift/standin"
)

// Request is one request of a workload.
type Request struct {
	Arrival        time.Duration
	Adapter        string
	Short          bool
	PromptTokens   int // tokens
	ExpectedTokens int // tokens, as the settings and the request let a node expect
	OutputTokens   int // tokens that the answer really has
	Deadline       time.Duration
}

// Slowdown is a time in which an engine is slow without saying so.
type Slowdown struct {
	Engine   int
	From, To time.Duration
	Factor   float64
}

// Workload is a deployment with its requests.
type Workload struct {
	Name           string
	Engines        int
	Slots          int
	BatchSize      int
	LoadRate       float64 // loads a second from the weight store
	ParallelLoads  int     // at full speed
	FullSpeedLoads int     // adapters in transit at full speed
	Timing         standin.Physics
	Duration       time.Duration
	Requests       []Request
	Slowdowns      []Slowdown
	Restarts       map[int]time.Duration // engine to the time at which it restarts cold
	Popular        []string              // adapters by their popularity, for the oracle
	Seed           uint64
}

const (
	adapterCount = 3000
	zipfExponent = 1.5
	warmUp       = 20 * time.Second // requests before it are not counted
)

// shape describes how requests arrive.
type shape struct {
	rate      func(t time.Duration) float64 // short requests a second
	longRate  func(t time.Duration) float64
	shortMean float64 // tokens
	longMean  float64
	straggle  float64 // share of requests that run straggleBy times longer
	shiftAt   time.Duration
}

const straggleBy = 8

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// swing rises from low to high within two seconds, stays, and falls.
func swing(low, high float64, from, to time.Duration) func(time.Duration) float64 {
	const ramp = 2 * time.Second
	return func(t time.Duration) float64 {
		switch {
		case t < from || t > to+ramp:
			return low
		case t < from+ramp:
			return low + (high-low)*float64(t-from)/float64(ramp)
		case t > to:
			return high - (high-low)*float64(t-to)/float64(ramp)
		}
		return high
	}
}

func council(seed uint64, name string) Workload {
	return Workload{
		Name: name, Engines: 10, Slots: 32, BatchSize: 32, LoadRate: 3, ParallelLoads: 2, FullSpeedLoads: 16,
		Timing: standin.DefaultPhysics, Duration: 120 * time.Second, Seed: seed,
	}
}

func wspolnota(seed uint64, name string) Workload {
	return Workload{
		Name: name, Engines: 20, Slots: 32, BatchSize: 32, LoadRate: 6, ParallelLoads: 3, FullSpeedLoads: 24,
		Timing: standin.DefaultPhysics, Duration: 120 * time.Second, Seed: seed,
	}
}

// CouncilCrest is the Council's morning: short requests swing to a crest while
// long reviews run.
func CouncilCrest(seed uint64) Workload {
	return council(seed, "council-crest").with(shape{
		rate: swing(30, 110, 40*time.Second, 80*time.Second), longRate: constant(1.5),
		shortMean: 50, longMean: 700, straggle: 0.02,
	})
}

// CouncilCrestShortOnly is the same crest without long work.
func CouncilCrestShortOnly(seed uint64) Workload {
	return council(seed, "council-crest-short-only").with(shape{
		rate: swing(30, 110, 40*time.Second, 80*time.Second), longRate: constant(0),
		shortMean: 50, straggle: 0.02,
	})
}

// CouncilShift is a steady day on which the busy adapters go quiet at once.
func CouncilShift(seed uint64) Workload {
	return council(seed, "council-shift").with(shape{
		rate: constant(60), longRate: constant(1), shortMean: 50, longMean: 600, straggle: 0.02, shiftAt: 60 * time.Second,
	})
}

// CouncilOverload offers three times the capacity for twenty seconds.
func CouncilOverload(seed uint64) Workload {
	return council(seed, "council-overload").with(shape{
		rate: swing(40, 600, 40*time.Second, 60*time.Second), longRate: constant(0.5), shortMean: 50, longMean: 600,
	})
}

// CouncilRestart restarts two engines cold at the crest.
func CouncilRestart(seed uint64) Workload {
	w := CouncilCrest(seed)
	w.Name = "council-restart"
	w.Restarts = map[int]time.Duration{2: 50 * time.Second, 7: 60 * time.Second}
	return w
}

// WspolnotaEvening is the Wspólnota's evening crest of long dossiers.
func WspolnotaEvening(seed uint64) Workload {
	return wspolnota(seed, "wspolnota-evening").with(shape{
		rate: constant(40), longRate: swing(4, 14, 40*time.Second, 80*time.Second), shortMean: 50, longMean: 700, straggle: 0.01,
	})
}

// WspolnotaSlowed is the same evening with a tenth of the engines slowed
// tenfold for moments.
func WspolnotaSlowed(seed uint64) Workload {
	w := WspolnotaEvening(seed)
	w.Name = "wspolnota-slowed"
	rng := rand.New(rand.NewPCG(seed, 77))
	for t := warmUp; t < w.Duration; t += 8 * time.Second {
		for _, e := range rng.Perm(w.Engines)[:w.Engines/10] {
			w.Slowdowns = append(w.Slowdowns, Slowdown{Engine: e, From: t, To: t + 8*time.Second, Factor: 10})
		}
	}
	return w
}

// Workloads returns every workload.
func Workloads(seed uint64) []Workload {
	return []Workload{
		CouncilCrestShortOnly(seed), CouncilCrest(seed), CouncilShift(seed), CouncilOverload(seed), CouncilRestart(seed),
		WspolnotaEvening(seed), WspolnotaSlowed(seed),
	}
}

// with draws the requests of a shape.
func (w Workload) with(s shape) Workload {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	cdf := zipf(adapterCount, zipfExponent)
	names := make([]string, adapterCount)
	for i, k := range rng.Perm(adapterCount) {
		names[i] = fmt.Sprintf("a%04d@v1", k)
	}
	w.Popular = names
	draw := func(rate func(time.Duration) float64, short bool) {
		for t := time.Duration(0); t < w.Duration; {
			r := rate(t)
			if r <= 0 {
				t += time.Second
				continue
			}
			t += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
			rank := sort.SearchFloat64s(cdf, rng.Float64())
			if s.shiftAt > 0 && t > s.shiftAt {
				rank = (rank + adapterCount/2) % adapterCount
			}
			w.Requests = append(w.Requests, s.request(rng, t, names[min(rank, adapterCount-1)], short))
		}
	}
	draw(s.rate, true)
	draw(s.longRate, false)
	sort.Slice(w.Requests, func(i, j int) bool { return w.Requests[i].Arrival < w.Requests[j].Arrival })
	return w
}

func (s shape) request(rng *rand.Rand, at time.Duration, adapter string, short bool) Request {
	r := Request{Arrival: at, Adapter: adapter, Short: short, PromptTokens: 80 + rng.IntN(160), ExpectedTokens: int(s.shortMean), Deadline: 6 * time.Second}
	mean := s.shortMean
	if !short {
		mean = s.longMean
		r.PromptTokens, r.ExpectedTokens, r.Deadline = 600+rng.IntN(1200), int(s.longMean), 90*time.Second
	}
	r.OutputTokens = max(4, int(mean*math.Exp(0.4*rng.NormFloat64()-0.08)))
	if rng.Float64() < s.straggle {
		r.OutputTokens *= straggleBy
	}
	return r
}

func zipf(n int, exponent float64) []float64 {
	cdf := make([]float64, n)
	sum := 0.0
	for i := range cdf {
		sum += math.Pow(float64(i+1), -exponent)
		cdf[i] = sum
	}
	for i := range cdf {
		cdf[i] /= sum
	}
	return cdf
}
