package settings

import "time"

// Effective is the effective settings of one branch, inherited fields included.
type Effective struct {
	Name             string
	Adapter          string
	AdapterVersion   string // a version, or "current"
	Class            string // "short" or "long"
	Deadline         time.Duration
	MaxTokens        int
	MaxBodyBytes     int
	Hedge            bool
	Concurrency      int     // limit on requests in flight, shared by all branches with the same scope
	ConcurrencyScope string  // name of the branch that sets Concurrency
	Rate             float64 // limit on requests per second, shared by all branches with the same scope
	RateScope        string  // name of the branch that sets Rate
	LoadRate         float64 // limit on adapter loads per second from the weight store
	LoadParallel     int     // concurrent adapter loads that still run at full speed
}

// current as an adapter version selects the version that the adapter document marks
// as current.
const current = "current"

// defaults are the settings of the root branch for the fields that it does not set.
var defaults = Effective{
	Name:             "/",
	AdapterVersion:   current,
	Class:            "short",
	Deadline:         30 * time.Second,
	MaxTokens:        512,
	MaxBodyBytes:     1 << 20,
	Hedge:            true,
	Concurrency:      4096,
	ConcurrencyScope: "/",
	Rate:             100_000,
	RateScope:        "/",
	LoadRate:         3,
	LoadParallel:     2,
}

func (e Effective) override(d Document) *Effective {
	e.Name = d.Name
	for name, v := range d.Fields {
		if f, ok := branchFields[name]; ok {
			f.apply(&e, v)
		}
	}
	return &e
}
