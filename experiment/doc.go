// Package experiment measures the decisions of package engine on a model of
// the users' deployments, in virtual time: continuous batches with limited
// places and adapter slots, a weight store with a limited rate, hidden slow
// spells and late load reports.
//
// The decision types are the ones that a node runs. Beside them stand a plain
// baseline and an oracle that knows sizes, slow spells and popularity.
//
// # Usage
//
//	w := experiment.CouncilCrest(seed)
//	r := experiment.Run(w, experiment.NodePolicy)
//	fmt.Println(r.ShortP99, r.Goodput)
//
// # Not covered
//
// The network between nodes, and the failures of nodes and of the table; tests
// of package node cover those.
package experiment
