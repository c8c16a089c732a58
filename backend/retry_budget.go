package backend

import (
	"sync"
	"time"
)

// RetryBudget limits the retries that arrive at a pool, which are all attempts
// after the first of each request. The limit holds for all nodes together in any
// period of Window. Each node enforces its own part: it earns retries by its own
// requests, and the slack is divided among the nodes.
//
// The zero value allows no retries.
type RetryBudget struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries of this node per window
	Window time.Duration

	mu       sync.Mutex
	requests []bucket
	retries  []bucket
}

// bucket counts the events of one part of the window.
type bucket struct {
	start time.Time
	n     int
}

// windowBuckets is the number of buckets per window.
const windowBuckets = 20

// SetBounds changes the limits and keeps the counts. The slack depends on the
// number of nodes that share it, the other values on the settings.
func (b *RetryBudget) SetBounds(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// CountRequest counts a caller's request.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = b.increment(b.requests, now)
}

// TrySpend counts a retry if the budget allows it, and reports whether it does.
func (b *RetryBudget) TrySpend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests, b.retries = b.dropExpired(b.requests, now), b.dropExpired(b.retries, now)
	if float64(sum(b.retries)+1) > b.Ratio*float64(sum(b.requests))+b.Slack {
		return false
	}
	b.retries = b.increment(b.retries, now)
	return true
}

func (b *RetryBudget) increment(list []bucket, now time.Time) []bucket {
	if n := len(list); n > 0 && now.Sub(list[n-1].start) < b.Window/windowBuckets {
		list[n-1].n++
		return list
	}
	return append(b.dropExpired(list, now), bucket{now, 1})
}

func (b *RetryBudget) dropExpired(list []bucket, now time.Time) []bucket {
	for len(list) > 0 && now.Sub(list[0].start) > b.Window {
		list = list[1:]
	}
	return list
}

func sum(list []bucket) int {
	n := 0
	for _, b := range list {
		n += b.n
	}
	return n
}
