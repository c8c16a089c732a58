// Package backend provides a node's registry of backend servers, load balancing
// between plain servers, and retry budgets.
//
// [Registry] merges the rows in which servers register themselves. [Balancer]
// chooses a server of a plain pool. [Asks] is what a server asks for in a response:
// [Registry] keeps that it is draining, [Pauses] for how long it wants no requests, and
// [Limits] how many it takes from all nodes together. [Turns] gives out the turns to send to
// a plain server with a limit. [RetryBudget] limits the retries sent to a pool.
//
// # Usage
//
//	var reg backend.Registry
//	reg.Replace(now, servers)
//	for _, s := range reg.View().Pool("orders") { ... }
//
// # Not covered
//
// The package does no I/O and reads no clock. Scheduling of model engines is
// implemented in package engine.
package backend
