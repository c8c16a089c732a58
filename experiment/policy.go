package experiment

import (
	"math"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Policy chooses the decisions that a run makes.
type Policy struct {
	Name      string
	Scheduler engine.SchedulerConfig
	Router    engine.RouterConfig
	// LeastLoaded routes by the engines' late reports instead of by the router.
	LeastLoaded bool
	Hedge       bool // send a second attempt when the first is late
	Migrate     bool // move streams away from slow engines
	Oracle      bool // know sizes and slow spells, and need no loads
}

// NodePolicy is the policy that nodes run.
var NodePolicy = Policy{Name: "ours", Hedge: true, Migrate: true}

// Baseline is plain: least-loaded by late reports, first-in first-out, least
// recently used eviction, no hedges, no shares.
var Baseline = Policy{
	Name: "baseline", LeastLoaded: true,
	Scheduler: engine.SchedulerConfig{LongShare: 1, Ageing: 1e6, LongPenalty: 1e-9, BatchBonus: 1e-9, LRU: true},
}

// Oracle is a bound: it knows sizes and slow spells, and every engine holds
// every adapter.
var Oracle = Policy{
	Name: "oracle", Oracle: true,
	Scheduler: engine.SchedulerConfig{LongShare: 0.75, MaxQueue: math.MaxInt32},
}

// Policies returns the policies that are compared by default.
func Policies() []Policy { return []Policy{Baseline, NodePolicy, Oracle} }
