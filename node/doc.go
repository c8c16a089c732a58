// Package node assembles a daemon from the other packages: it holds the
// session in the platform's table, owns engines, and serves peers, callers and
// operators.
//
// All nodes have the same role. Their handlers are plain http.Handlers; the
// program that runs a node sets up the listeners.
//
// # Usage
//
//	n := node.New(node.Config{Name: "n1", Address: "127.0.0.1:7101", TableURL: ...})
//	go http.Serve(callers, n.Callers())
//	go http.Serve(peers, n.Peers())
//	go http.Serve(operators, n.Operators())
//	n.Start()
//	...
//	n.Close(ctx) // drains, hands engines over and waits
//
// # Not covered
//
// TLS and flag parsing, which the program that runs the node must do.
package node
