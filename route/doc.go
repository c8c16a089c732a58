// Package route holds what operators configure for raw HTTP traffic: routes,
// the pools of backend servers that they lead to, and the limits on callers.
//
// A [Table] is one version of that configuration. It never changes; a node
// replaces it whole.
//
// # Usage
//
//	t := route.NewTable(version, routes, pools, limits)
//	r, ok := t.Match("ficu95.example", "/orders/2f")
//	pool, ok := t.Pool(r.PoolFor(requestID))
//
// # Not covered
//
// The package neither reads a configuration nor checks that a pool has
// servers.
package route
