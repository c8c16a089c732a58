// Package backend holds what a node knows of backend servers and the decisions
// that rest on it: which servers take new work, which one gets a request, and
// how much may be sent again.
//
// [Registry] merges the rows that servers write about themselves. [Balancer]
// chooses a server of a plain pool. [RetryBudget] bounds arrivals beyond the
// first of each request.
//
// # Usage
//
//	var reg backend.Registry
//	reg.Replace(now, servers)
//	for _, s := range reg.View().Pool("orders") { ... }
//
// # Not covered
//
// The package does no I/O and reads no clock. Adapters and queues of model
// engines are decided in package engine.
package backend
