// Package memory limits what clients make a process hold: the heads and bodies of requests, copies for
// further attempts, and responses that are not read. One budget serves all listeners of a process. It
// answers the load of clients that send many bodies at once and let none end, or whose heads do not end:
// what they hold together stays within the budget, and the next request is refused at once.
//
// A holding of over [SmallBytes] is large. Large holdings together take at most three quarters of the
// budget, so that bodies which are stuck leave room for small requests; a sixteenth is for the system's
// own listeners, so that it stays a member of its cluster.
//
// # Usage
//
//	budget := memory.NewBudget(vmBytes / 4)
//	holding := budget.Hold(memory.OfCaller)
//	defer holding.Release()
//	if !holding.Grow(n) {
//		// refuse the request
//	}
//
//	var body memory.Buffer
//	body.Holding = holding
//	err := body.Fill(r.Body, r.ContentLength, maxBytes)
//
// The budget decides only; it allocates nothing, reads no clock and does not wait. What the process
// holds for itself, and the buffers of the kernel, are not counted.
package memory
