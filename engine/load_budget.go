package engine

import "time"

// LoadBudget limits the load on the weight store: at most Parallel loads at once
// and Rate loads per second. Set both fields before use; the zero value allows
// no loads. The limit is not needed for safety: if two nodes each run a budget,
// loads become slower but stay correct.
type LoadBudget struct {
	Rate     float64 // loads per second
	Parallel int     // maximum number of concurrent loads

	tokens     float64
	refilledAt time.Time
	active     map[string]time.Time // load ID to the time at which the load counts as lost
	waiting    []LoadRequest
}

// LoadRequest is a request for one load.
type LoadRequest struct {
	ID          string
	Demand      int // requests that wait for the adapter
	requestedAt time.Time
}

// grantedLoadTTL is the time after which a granted load counts as lost and no
// longer occupies the budget.
const grantedLoadTTL = 10 * time.Second

// demandWeightSeconds is the urgency of one waiting request, in seconds of
// waiting time.
const demandWeightSeconds = 0.05

// Request enqueues a request for a load.
func (b *LoadBudget) Request(now time.Time, r LoadRequest) {
	r.requestedAt = now
	b.waiting = append(b.waiting, r)
}

// Cancel removes a request that has not been granted.
func (b *LoadBudget) Cancel(id string) {
	for i, r := range b.waiting {
		if r.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// Finish records the end of a granted load. It has no effect on an unknown ID.
func (b *LoadBudget) Finish(id string) { delete(b.active, id) }

// Refund refunds a load that was granted but not started.
func (b *LoadBudget) Refund(id string) {
	if _, ok := b.active[id]; ok {
		delete(b.active, id)
		b.tokens = min(1, b.tokens+1)
	}
}

// Next grants the most urgent request if the budget allows a load now.
// Otherwise it returns the time at which to try again, or the zero time if only
// [LoadBudget.Finish], [LoadBudget.Refund] or [LoadBudget.Request] can make a
// grant possible.
func (b *LoadBudget) Next(now time.Time) (id string, ok bool, retryAt time.Time) {
	b.refill(now)
	for id, expiry := range b.active {
		if now.After(expiry) {
			delete(b.active, id)
		}
	}
	if len(b.waiting) == 0 || len(b.active) >= b.Parallel {
		return "", false, time.Time{}
	}
	if b.tokens < 1 {
		missing := (1 - b.tokens) / b.Rate
		return "", false, now.Add(time.Duration(missing*float64(time.Second)) + time.Millisecond)
	}
	b.tokens--
	best := 0
	for i, r := range b.waiting {
		if r.urgency(now) > b.waiting[best].urgency(now) {
			best = i
		}
	}
	r := b.waiting[best]
	b.waiting = append(b.waiting[:best], b.waiting[best+1:]...)
	if b.active == nil {
		b.active = make(map[string]time.Time)
	}
	b.active[r.ID] = now.Add(grantedLoadTTL)
	return r.ID, true, time.Time{}
}

func (r LoadRequest) urgency(now time.Time) float64 {
	return now.Sub(r.requestedAt).Seconds() + demandWeightSeconds*float64(r.Demand)
}

func (b *LoadBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = 1, now
		return
	}
	b.tokens = min(1, b.tokens+b.Rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}
