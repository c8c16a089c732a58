// Package peer holds what the nodes of one system say to each other: the
// connect protocol in peer.proto (generated code in peerpb), and the state at
// an entry node that fences grants.
//
// # Usage
//
//	var reg peer.Registry
//	reg.Expect("engine-3", "req-1")
//	// ... ask the owner for a grant ...
//	if err := reg.Start("engine-3", "req-1", token, "tides@v2", true); err != nil {
//		// a later owner has taken over: the grant must not be used
//	}
//	defer reg.End("engine-3", "req-1")
//
// # Not covered
//
// Which node owns an engine is decided in package node from the sessions in
// the platform's table.
package peer
