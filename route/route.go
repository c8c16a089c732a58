package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a route. It determines whether a request may run more than
// once.
type Kind string

// The kinds of route.
const (
	Idempotent    Kind = "repeatable" // a request may run more than once
	NonIdempotent Kind = "once"       // a request runs at most once
	Stream        Kind = "stream"     // responds with an event stream; runs once unless resumable
)

// Route maps a path prefix of a host to pools.
type Route struct {
	Name            string
	Host            string
	Prefix          string // starts and ends with a slash
	Kind            Kind
	Timeout         time.Duration // maximum time that a caller waits for the response
	TargetLatency   time.Duration // a response, or a stream's first event, within it earns full credit
	TargetGap       time.Duration // target for the longest time between two events of a stream
	Priority        int           // 0 is the highest priority
	TrafficSplit    []WeightedPool
	MaxAttempts     int  // maximum number of backend servers to which one request is sent
	Resumable       bool // a stream may be resumed at another server after its last complete event
	Public          bool // its callers need no account
	SessionAffinity bool // requests of a session share prompt prefixes, which servers cache
}

// WeightedPool is a pool with its weight in a route's traffic split.
type WeightedPool struct {
	Pool   string
	Weight int
}

// PoolFor returns the pool for the request with the given ID, or "" if there is
// none. The same ID always maps to the same pool.
func (r *Route) PoolFor(id string) string {
	total := 0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.TrafficSplit {
		if n -= s.Weight; n < 0 {
			return s.Pool
		}
	}
	return ""
}

// A caller abandons a stream without an event for the longest of a minimum time, a
// multiple of the target latency, and a multiple of the target gap. The platform
// specifies these values in its page on callers.
const (
	minFirstEventTimeout = 2 * time.Second
	targetLatencyFactor  = 4
	targetGapFactor      = 8
)

// FirstEventTimeout returns how long a caller waits for the first event of a
// stream, and for each later one.
func (r *Route) FirstEventTimeout() time.Duration {
	return max(minFirstEventTimeout, targetLatencyFactor*r.TargetLatency, targetGapFactor*r.TargetGap)
}

// IsResumableStream reports whether a request of the route is answered by a stream that may go on at
// another server.
func (r *Route) IsResumableStream() bool { return r.Kind == Stream && r.Resumable }

// LeadsTo reports whether requests of the route may be sent to a pool.
func (r *Route) LeadsTo(pool string) bool {
	return slices.ContainsFunc(r.TrafficSplit, func(s WeightedPool) bool { return s.Pool == pool && s.Weight > 0 })
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }
