package experiment

import (
	"math"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Policy configures scheduling and routing in a run.
type Policy struct {
	Name      string
	Scheduler engine.SchedulerConfig
	Router    engine.RouterConfig
	// LeastLoaded routes by the engines' delayed load reports instead of the router.
	LeastLoaded bool
	Hedge       bool // start a speculative attempt when the first token is late
	Migrate     bool // migrate streams away from slow engines
	Oracle      bool // know response sizes and slowdowns, and need no adapter loads
}

// NodePolicy is the policy that nodes run.
var NodePolicy = Policy{Name: "ours", Hedge: true, Migrate: true}

// Baseline routes to the least loaded engine by delayed load reports, schedules first-in
// first-out and evicts the least recently used adapter. It neither hedges nor migrates,
// and reserves no share for short requests.
var Baseline = Policy{
	Name: "baseline", LeastLoaded: true,
	Scheduler: engine.SchedulerConfig{LongShare: 1, Ageing: 1e6, LongPenalty: 1e-9, BatchBonus: 1e-9, LRU: true},
}

// Oracle is an upper bound. It knows response sizes and slowdowns, and every engine has
// loaded every adapter.
var Oracle = Policy{
	Name: "oracle", Oracle: true,
	Scheduler: engine.SchedulerConfig{LongShare: 0.75, MaxQueue: math.MaxInt32},
}

// Policies returns the policies that are compared by default.
func Policies() []Policy { return []Policy{Baseline, NodePolicy, Oracle} }
