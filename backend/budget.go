package backend

import (
	"sync"
	"time"
)

// RetryBudget bounds the arrivals at a pool beyond the first of each request.
// The bound holds over all nodes together and any span of Window; each node
// keeps to its part of it. Requests are counted as they come in, so the share
// that a node earns follows its traffic; the slack is divided by the nodes.
//
// Fields may be left zero: nothing is allowed then.
type RetryBudget struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats of this node beyond that in each window
	Window time.Duration

	mu       sync.Mutex
	requests []stamp
	repeats  []stamp
}

// stamp counts events in one slice of the window.
type stamp struct {
	at time.Time
	n  int
}

// budgetSlices is how finely a window is counted.
const budgetSlices = 20

// SetBounds changes what may be spent: the slack follows the number of nodes that
// share it, the others the settings. What was counted stays.
func (b *RetryBudget) SetBounds(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// CountRequest counts a caller's request.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = b.count(b.requests, now)
}

// TrySpend counts one more arrival, or reports that the budget is used up.
func (b *RetryBudget) TrySpend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests, b.repeats = b.recent(b.requests, now), b.recent(b.repeats, now)
	if float64(sum(b.repeats)+1) > b.Ratio*float64(sum(b.requests))+b.Slack {
		return false
	}
	b.repeats = b.count(b.repeats, now)
	return true
}

func (b *RetryBudget) count(list []stamp, now time.Time) []stamp {
	if n := len(list); n > 0 && now.Sub(list[n-1].at) < b.Window/budgetSlices {
		list[n-1].n++
		return list
	}
	return append(b.recent(list, now), stamp{now, 1})
}

func (b *RetryBudget) recent(list []stamp, now time.Time) []stamp {
	for len(list) > 0 && now.Sub(list[0].at) > b.Window {
		list = list[1:]
	}
	return list
}

func sum(list []stamp) int {
	n := 0
	for _, s := range list {
		n += s.n
	}
	return n
}
