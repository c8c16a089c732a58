// Package demo runs the whole system in one process on loopback ports:
// stand-ins for the outside systems, three nodes, operators and callers. It
// changes a version, drains a backend server and shuts a node down while
// requests run, and checks every answer against what the stand-ins did.
//
// # Usage
//
//	err := demo.Run(demo.Options{Seed: 1, Requests: 3000, Out: os.Stdout, Progress: os.Stderr})
//
// # Not covered
//
// Crashes and cuts; see the tests of package node.
package demo
