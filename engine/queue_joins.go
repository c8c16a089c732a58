package engine

import "time"

// queueJoins records what an entry node knows of the requests that it has sent to the
// owner of one engine and that the last known queue wait there does not cover.
type queueJoins struct {
	sent    uint64 // number of the last request
	refused uint64 // highest number of a refused request
	// wait is the queue wait that came with that refusal. isQueueOnly is false if it
	// may include the load of an adapter.
	wait        time.Duration
	isQueueOnly bool
}

// CountRequest records that a request is sent to an engine's owner. The returned number
// identifies it in [Router.ObserveRefusal].
func (r *Router) CountRequest(name string) (number uint64) {
	j := &r.view(name).joins
	j.sent++
	return j.sent
}

// ObserveRefusal records that an engine's owner refused a request, and the queue wait
// there, which covers the requests with lower numbers.
func (r *Router) ObserveRefusal(name string, number uint64, reason RefusalReason, wait time.Duration) {
	j := &r.view(name).joins
	if number < j.refused {
		// The owner may have handled the requests in another order. Then the longer
		// wait is the later one.
		if j.isQueueOnly && reason == Overflow {
			j.wait = max(j.wait, wait)
		}
		return
	}
	j.refused, j.wait, j.isQueueOnly = number, wait, reason == Overflow
}

// WaitAfterJoins returns the queue wait at an engine whose owner reported a wait to some
// request: the wait that came with a later refusal, if there is one, and step for each
// request that this node has sent there since. With isCold, the reported wait includes
// the load of the request's own adapter, so that a shorter queue does not reduce it.
func (r *Router) WaitAfterJoins(name string, reported time.Duration, isCold bool, step time.Duration) time.Duration {
	j := r.view(name).joins
	if j.isQueueOnly && (!isCold || j.wait > reported) {
		reported = j.wait
	}
	return reported + time.Duration(j.sent-j.refused)*step
}
