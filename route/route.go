package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated of the requests of a route.
type Kind string

// The kinds of route.
const (
	Idempotent    Kind = "repeatable" // a request may run more than once
	NonIdempotent Kind = "once"       // a request runs at most once
	Stream        Kind = "stream"     // the answer is a stream of events; runs once unless the route is resumable
)

// Route leads the requests for one path prefix of a host to a pool.
type Route struct {
	Name            string
	Host            string
	Prefix          string // starts and ends with a slash
	Kind            Kind
	Timeout         time.Duration // the longest time that a caller is kept waiting
	TargetLatency   time.Duration // an answer (a stream's first event) within it earns full credit
	TargetGap       time.Duration // the longest pause between events of a stream that is on time
	Priority        int           // 0 is the most urgent
	TrafficSplit    []WeightedPool
	MaxAttempts     int  // backend servers to which one request may be sent
	Resumable       bool // a stream may go on at another server after its last whole event
	SessionAffinity bool // requests share prompt parts, so that servers keep what they have read
}

// WeightedPool is the part of a route's requests that one pool gets.
type WeightedPool struct {
	Pool   string
	Weight int
}

// PoolFor returns the pool for a request. The same id always leads to the same
// pool.
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

// A caller gives a stream up when no event comes for the longest of these: a
// time, a multiple of the aim, and a multiple of the pause that is on time. The
// platform's page on callers says so.
const (
	minPatience = 2 * time.Second
	aimPatience = 4
	gapPatience = 8
)

// FirstEventTimeout returns how long a caller waits for the first event of a
// stream.
func (r *Route) FirstEventTimeout() time.Duration {
	return max(minPatience, aimPatience*r.TargetLatency, gapPatience*r.TargetGap)
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }
