// Package schedule decides what costs callers least where capacity is short: which request goes
// first, which waits, and which is refused. It is used by the queue of an engine's owner (package
// engine), by the guard of a node's processor time and by the refusals that nodes hold (packages
// caller and node).
//
// A [Queue] orders the requests that wait at one place by levels, and within a level by target.
// The level of a request is its priority; a request that can no longer meet its target goes one
// and a half levels down, and one of an account far above its usual share three, as many as there
// are priorities of routes. A request whose caller has the first part of its response, so that
// work has been spent on it, goes first. So that no priority starves, each is guaranteed a third
// of its share of the requests, by [Queue.Promote].
//
// [Shares] divides what a place admits among priorities, where requests do not wait.
//
// Nothing here knows the worth of a response. Requests are told apart by what they state: priority,
// target, account and work. The decisions take the time and do no I/O; a Queue is not safe for
// concurrent use.
//
// # Usage
//
//	var q schedule.Queue
//	q.Offer(now, r)        // a request arrives
//	key := q.Key(now, r)   // of two requests, the one with the lower key goes first
//	q.Grant(now, r)        // it leaves the queue and runs
//	q.Finish(now, r, took) // it has run
//
// Keys change with time, so a place that keeps its requests sorted computes them again at
// intervals, after it has called [Queue.Promote] with all requests that wait.
//
// # Not covered
//
// Requests that run are not interrupted for more urgent ones.
package schedule
