package engine

import "time"

// queueJoins records what an entry node knows of the requests that it has sent to the
// owner of one engine and that the last known queue wait there does not cover. Only
// requests that accept any wait count; most of the others are refused.
type queueJoins struct {
	sent    uint64 // requests that accept any wait
	covered uint64 // those of them that the wait covers
	// wait is the queue wait that the owner last reported with a refusal. isQueueOnly is
	// false if it may include the load of an adapter.
	wait        time.Duration
	isQueueOnly bool
}

// CountRequest records that a request is sent to an engine's owner that accepts the given
// queue wait, or any if that is zero. The returned number is to be passed to
// [Router.ObserveRefusal].
func (r *Router) CountRequest(name string, maxWait time.Duration) (number uint64) {
	j := &r.view(name).joins
	if maxWait == 0 {
		j.sent++
	}
	return j.sent
}

// ObserveRefusal records that an engine's owner refused a request, and the queue wait
// there, which covers what was sent before.
func (r *Router) ObserveRefusal(name string, number uint64, reason RefusalReason, wait time.Duration) {
	j := &r.view(name).joins
	if number < j.covered {
		return // a request that was sent later has been refused already
	}
	j.covered, j.wait, j.isQueueOnly = number, wait, reason == Overflow
}

// WaitAfterJoins returns the queue wait at an engine whose owner reported a wait to some
// request: the wait that came with a later refusal, if there is one, and step for each
// request that accepts any wait and that this node has sent there since. With isCold, the
// reported wait includes the load of the request's own adapter, so that a shorter queue
// does not reduce it.
func (r *Router) WaitAfterJoins(name string, reported time.Duration, isCold bool, step time.Duration) time.Duration {
	j := r.view(name).joins
	if j.isQueueOnly && (!isCold || j.wait > reported) {
		reported = j.wait
	}
	return reported + time.Duration(j.sent-j.covered)*step
}
