package standin

import "time"

// pauseNotice is how long after a replica has asked for a pause requests may still arrive
// that were sent before the node knew of it. The platform defines this bound.
const pauseNotice = 500 * time.Millisecond

// observeArrival counts a request that comes during a pause. It returns the pause to ask
// for if the request is to be turned away.
func (r *Replica) observeArrival(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.pauseStart) && now.Before(r.pauseEnd) {
		r.record.DuringPause++
	}
	if r.fault.Refusals == 0 {
		return 0
	}
	r.fault.Refusals--
	r.record.TurnedAway++
	if !now.Before(r.pauseEnd) {
		r.pauseStart = now.Add(pauseNotice)
	}
	if end := now.Add(r.fault.RefusalPause); end.After(r.pauseEnd) {
		r.pauseEnd = end
	}
	return r.fault.RefusalPause
}
