// Package capacity estimates the resources that a deployment of a given size needs. It
// extrapolates from unit costs, called slopes, that it measures on the current machine.
//
// # Usage
//
//	s, err := capacity.Measure() // takes a few seconds
//	costs := capacity.RoleCosts(s, capacity.TwoYears)
//	capacity.WriteMarkdown(os.Stdout, s, capacity.TwoYears)
//
// docs/CAPACITY.md shows the estimates for the slopes in docs/capacity-slopes.json. A test
// recomputes them.
//
// # Not covered
//
// The engines, and the bytes of the callers' requests and responses.
package capacity
