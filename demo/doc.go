// Package demo runs the whole system in one process on loopback ports:
// stand-ins for the outside systems, three nodes, operators and callers. It
// changes a version, drains a backend server and shuts a node down while
// requests run, and checks every answer against what the stand-ins did.
// [RunPlatform] does the same with the daemons of entry VMs on a stand-in of the
// users' platform.
//
// # Usage
//
//	err := demo.Run(demo.Options{Seed: 1, Requests: 3000, Out: os.Stdout, Progress: os.Stderr})
//
// # Not covered
//
// Crashes of nodes and cuts between them; see the tests of package node.
package demo
