package backend

import "time"

// Asks is what a server asked for in a response. The zero value asks for nothing.
type Asks struct {
	// Late is set for a response to an earlier request, of which only Draining counts.
	Late     bool
	Draining bool          // it wants no new requests
	Pause    time.Duration // how long it wants no requests from this node
	PauseErr error         // the pause cannot be read
	// PerSecond is the number of requests a second that it takes from all nodes together, if
	// Limited is set.
	PerSecond float64
	Limited   bool
	LimitErr  error // the limit cannot be read
	// MaxRefusals is the number of requests that it may turn away in a second for want of room, if
	// Brittle is set. It falls over if there are more.
	MaxRefusals float64
	Brittle     bool
	BrittleErr  error // that number cannot be read
}
