// Package demo runs the whole system in one process on loopback ports: stand-ins
// for the external systems, three nodes, an operator and callers. While requests
// run, it publishes adapter versions, drains a backend server and shuts a node
// down. It checks the responses and what the stand-ins recorded. [RunPlatform] does
// the same with the daemons of entry VMs on a stand-in of the users' platform.
//
// # Usage
//
//	err := demo.Run(demo.Options{Seed: 1, Requests: 3000, Out: os.Stdout, Progress: os.Stderr})
//
// # Not covered
//
// Crashes of nodes and network partitions between them; see the tests of package
// node.
package demo
