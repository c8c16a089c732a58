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
	Arrival        time.Duration // since the start of the run
	Adapter        string
	Short          bool
	PromptTokens   int
	ExpectedTokens int           // as a node derives them from the settings and the request
	OutputTokens   int           // actual length of the response
	Deadline       time.Duration // after arrival
}

// Slowdown is a period in which an engine is slow without reporting it.
type Slowdown struct {
	Engine   int
	From, To time.Duration
	Factor   float64 // times slower than normal
}

// Workload describes a deployment and the requests that it receives.
type Workload struct {
	Name           string
	Engines        int
	Slots          int
	BatchSize      int
	LoadRate       float64 // loads per second from the weight store
	ParallelLoads  int     // concurrent loads that the load budget allows
	FullSpeedLoads int     // concurrent loads beyond which every load gets slower
	Timing         standin.Timing
	Duration       time.Duration
	Requests       []Request
	Slowdowns      []Slowdown
	Restarts       map[int]time.Duration // when an engine restarts without adapters, by index
	Popular        []string              // adapters, most popular first
	Seed           uint64
}

const (
	adapterCount = 3000
	zipfExponent = 1.5
	warmUp       = 20 * time.Second // requests that arrive earlier are not counted
)

// traffic describes the arrival rates and response lengths of requests.
type traffic struct {
	shortRate      func(t time.Duration) float64 // short requests per second
	longRate       func(t time.Duration) float64 // long requests per second
	shortMean      float64                       // tokens in a short response
	longMean       float64                       // tokens in a long response
	stragglerShare float64                       // share of responses that are stragglerFactor times longer
	shiftAt        time.Duration                 // when the popular adapters change, or 0
}

const stragglerFactor = 8

func constantRate(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// trapezoid returns a rate that rises from low to high over two seconds, stays until to,
// and falls again over two seconds.
func trapezoid(low, high float64, from, to time.Duration) func(time.Duration) float64 {
	const rampTime = 2 * time.Second
	return func(t time.Duration) float64 {
		switch {
		case t < from || t > to+rampTime:
			return low
		case t < from+rampTime:
			return low + (high-low)*float64(t-from)/float64(rampTime)
		case t > to:
			return high - (high-low)*float64(t-to)/float64(rampTime)
		}
		return high
	}
}

func councilDeployment(seed uint64, name string) Workload {
	return Workload{
		Name: name, Engines: 10, Slots: 32, BatchSize: 32, LoadRate: 3, ParallelLoads: 2, FullSpeedLoads: 16,
		Timing: standin.DefaultTiming, Duration: 120 * time.Second, Seed: seed,
	}
}

func wspolnotaDeployment(seed uint64, name string) Workload {
	return Workload{
		Name: name, Engines: 20, Slots: 32, BatchSize: 32, LoadRate: 6, ParallelLoads: 3, FullSpeedLoads: 24,
		Timing: standin.DefaultTiming, Duration: 120 * time.Second, Seed: seed,
	}
}

// CouncilCrest models the Council's morning peak of short requests, while long reviews
// run.
func CouncilCrest(seed uint64) Workload {
	return councilDeployment(seed, "council-crest").withRequests(traffic{
		shortRate: trapezoid(30, 110, 40*time.Second, 80*time.Second), longRate: constantRate(1.5),
		shortMean: 50, longMean: 700, stragglerShare: 0.02,
	})
}

// CouncilCrestShortOnly is CouncilCrest without long requests.
func CouncilCrestShortOnly(seed uint64) Workload {
	return councilDeployment(seed, "council-crest-short-only").withRequests(traffic{
		shortRate: trapezoid(30, 110, 40*time.Second, 80*time.Second), longRate: constantRate(0),
		shortMean: 50, stragglerShare: 0.02,
	})
}

// CouncilShift models steady traffic in which the popular adapters become unpopular all
// at once.
func CouncilShift(seed uint64) Workload {
	return councilDeployment(seed, "council-shift").withRequests(traffic{
		shortRate: constantRate(60), longRate: constantRate(1), shortMean: 50, longMean: 600, stragglerShare: 0.02, shiftAt: 60 * time.Second,
	})
}

// CouncilOverload offers three times the capacity for 20 seconds.
func CouncilOverload(seed uint64) Workload {
	return councilDeployment(seed, "council-overload").withRequests(traffic{
		shortRate: trapezoid(40, 600, 40*time.Second, 60*time.Second), longRate: constantRate(0.5), shortMean: 50, longMean: 600,
	})
}

// CouncilRestart is CouncilCrest with two engines that restart without adapters during
// the peak.
func CouncilRestart(seed uint64) Workload {
	w := CouncilCrest(seed)
	w.Name = "council-restart"
	w.Restarts = map[int]time.Duration{2: 50 * time.Second, 7: 60 * time.Second}
	return w
}

// WspolnotaEvening models the Wspólnota's evening peak of long requests for dossiers.
func WspolnotaEvening(seed uint64) Workload {
	return wspolnotaDeployment(seed, "wspolnota-evening").withRequests(traffic{
		shortRate: constantRate(40), longRate: trapezoid(4, 14, 40*time.Second, 80*time.Second), shortMean: 50, longMean: 700, stragglerShare: 0.01,
	})
}

// WspolnotaSlowed is WspolnotaEvening with a tenth of the engines ten times slower. The
// slow engines are chosen anew every 8 seconds.
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

// withRequests returns the workload with randomly drawn requests.
func (w Workload) withRequests(tr traffic) Workload {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	cdf := zipfCDF(adapterCount, zipfExponent)
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
			if tr.shiftAt > 0 && t > tr.shiftAt {
				rank = (rank + adapterCount/2) % adapterCount
			}
			w.Requests = append(w.Requests, tr.newRequest(rng, t, names[min(rank, adapterCount-1)], short))
		}
	}
	draw(tr.shortRate, true)
	draw(tr.longRate, false)
	sort.Slice(w.Requests, func(i, j int) bool { return w.Requests[i].Arrival < w.Requests[j].Arrival })
	return w
}

func (tr traffic) newRequest(rng *rand.Rand, at time.Duration, adapter string, short bool) Request {
	r := Request{Arrival: at, Adapter: adapter, Short: short, PromptTokens: 80 + rng.IntN(160), ExpectedTokens: int(tr.shortMean), Deadline: 6 * time.Second}
	mean := tr.shortMean
	if !short {
		mean = tr.longMean
		r.PromptTokens, r.ExpectedTokens, r.Deadline = 600+rng.IntN(1200), int(tr.longMean), 90*time.Second
	}
	r.OutputTokens = max(4, int(mean*math.Exp(0.4*rng.NormFloat64()-0.08)))
	if rng.Float64() < tr.stragglerShare {
		r.OutputTokens *= stragglerFactor
	}
	return r
}

func zipfCDF(n int, exponent float64) []float64 {
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
