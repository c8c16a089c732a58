// Package route provides the operators' configuration of HTTP traffic: routes,
// the pools of backend servers behind them, and the limits on callers.
//
// A [Table] is one immutable version of that configuration. A node replaces the
// whole table on a change.
//
// # Usage
//
//	t := route.NewTable(version, routes, pools, limits)
//	r, ok := t.Match("ficu95.example", "/orders/2f")
//	pool, ok := t.Pool(r.PoolFor(requestID))
//
// # Not covered
//
// The package neither decodes a configuration nor checks that a pool has servers.
package route
