// Package experiment measures the scheduling and routing of package engine in a
// discrete-event simulation of the users' deployments. It models continuous batching
// with limited batch sizes and adapter slots, a weight store with a limited load rate,
// unannounced slowdowns of engines, and delayed load reports.
//
// The simulation runs the same scheduler and router as a node. It compares them with a
// simple baseline, and with an oracle that knows response sizes and slowdowns and needs
// no adapter loads.
//
// # Usage
//
//	w := experiment.CouncilCrest(seed)
//	r := experiment.Run(w, experiment.NodePolicy)
//	fmt.Println(r.Short.TotalP99, r.Goodput)
//
// # Not covered
//
// The network between nodes, and failures of nodes and of the table. The tests of
// package node cover those.
package experiment
