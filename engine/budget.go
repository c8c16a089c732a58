package engine

import "time"

// LoadBudget shares out the weight store's loads: at most Parallel at once and
// Rate a second. The zero value allows nothing; set the fields first. It is
// soft: a disagreement about who runs it costs slow loads, never safety.
type LoadBudget struct {
	Rate     float64 // loads a second
	Parallel int     // loads at once at full speed

	tokens  float64
	at      time.Time
	active  map[string]time.Time // load id to the time at which it is taken for lost
	waiting []LoadRequest
}

// LoadRequest asks for one load.
type LoadRequest struct {
	ID     string
	Demand int // requests that wait for the adapter
	asked  time.Time
}

// loadLost is how long a load may run before its place is given away.
const loadLost = 10 * time.Second

// demandWeight is how many seconds of waiting one waiting request outweighs.
const demandWeight = 0.05

// Request queues a request for a load.
func (b *LoadBudget) Request(now time.Time, r LoadRequest) {
	r.asked = now
	b.waiting = append(b.waiting, r)
}

// Cancel drops a request that has not been granted.
func (b *LoadBudget) Cancel(id string) {
	for i, r := range b.waiting {
		if r.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// Finish gives back the place of a load that was granted.
func (b *LoadBudget) Finish(id string) { delete(b.active, id) }

// Refund gives back a load that was granted and not used.
func (b *LoadBudget) Refund(id string) {
	if _, ok := b.active[id]; ok {
		delete(b.active, id)
		b.tokens = min(1, b.tokens+1)
	}
}

// Next grants the most wanted request if the budget allows one now. Otherwise
// it returns the time at which to ask again, which is zero when only [Budget.Done]
// or [Budget.Ask] can change the answer.
func (b *LoadBudget) Next(now time.Time) (id string, ok bool, again time.Time) {
	b.refill(now)
	for id, lost := range b.active {
		if now.After(lost) {
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
	b.active[r.ID] = now.Add(loadLost)
	return r.ID, true, time.Time{}
}

func (r LoadRequest) urgency(now time.Time) float64 {
	return now.Sub(r.asked).Seconds() + demandWeight*float64(r.Demand)
}

func (b *LoadBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.tokens, b.at = 1, now
		return
	}
	b.tokens = min(1, b.tokens+b.Rate*now.Sub(b.at).Seconds())
	b.at = now
}
