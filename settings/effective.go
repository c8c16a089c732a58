package settings

import "time"

// Effective is the result of inheritance for one branch.
type Effective struct {
	Name             string
	Adapter          string
	AdapterVersion   string // a version, or "current"
	Class            string // "short" or "long"
	Deadline         time.Duration
	MaxTokens        int
	MaxBodyBytes     int
	Hedge            bool
	Concurrency      int     // requests in flight, shared by all branches with the same scope
	ConcurrencyScope string  // the branch that sets Concurrency
	Rate             float64 // requests a second, shared by all branches with the same scope
	RateScope        string  // the branch that sets Rate
	LoadRate         float64 // adapter loads a second from the weight store
	LoadParallel     int     // adapter loads at once at full speed
}

// current as a version stands for the adapter's current version.
const current = "current"

// defaults are in force at the root branch where it sets nothing.
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

func (e Effective) with(d Document) *Effective {
	e.Name = d.Name
	for name, v := range d.Fields {
		if f, ok := branchFields[name]; ok {
			f.apply(&e, v)
		}
	}
	return &e
}
