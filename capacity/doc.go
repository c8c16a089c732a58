// Package capacity works out what the system needs at a given size from slopes
// that are measured on the machine at hand.
//
// # Usage
//
//	s, err := capacity.Measure()           // a few seconds
//	lines := capacity.RoleCosts(s, capacity.TwoYears)
//	capacity.WriteMarkdown(os.Stdout, lines)
//
// docs/CAPACITY.md holds the slopes of one measurement and the lines that
// follow from them; a test recomputes the lines.
//
// # Not covered
//
// The engines, and the bytes of the callers' own requests and answers.
package capacity
