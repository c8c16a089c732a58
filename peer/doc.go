// Package peer defines the protocol between the nodes of one system: the connect
// service in peer.proto (generated code in peerpb), its HTTP client and server, and
// the registry with which an entry node fences grants of former owners.
//
// # Usage
//
//	var reg peer.Registry
//	reg.Register("engine-3", "req-1")
//	// ... request a grant from the owner ...
//	if err := reg.Start("engine-3", "req-1", token, "tides@v2", true); err != nil {
//		// the grant is fenced or revoked and must not be used
//	}
//	defer reg.End("engine-3", "req-1")
//
// # Not covered
//
// The choice of an engine's owner: package node derives it from the sessions in the
// platform's table.
package peer
