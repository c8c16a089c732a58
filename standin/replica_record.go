package standin

import "time"

// ReplicaRecord is what a replica received and did.
type ReplicaRecord struct {
	Executions map[string]int // number of executions by request ID
	// Accounts is the client account under which a request was run last, by its ID. Requests without
	// one are not in it.
	Accounts map[string]string
	WithKey  int       // requests of any kind that came with the key of a client account
	Crashes  int       // caused by loads beyond the adapter slots
	Commands []Arrival // all that arrived, also those that were refused
	// RequestCrashes and CrashingArrivals are the times of crashes by requests, and of the
	// arrivals of such requests.
	RequestCrashes   []time.Time
	CrashingArrivals []time.Time
	TurnedAway       int // requests of any kind that were told to pause
	// DuringPause is the number of requests of any kind that came during a pause, later
	// than pauseNotice after the replica had asked for it.
	DuringPause int
	// Falls is how often the replica fell over as it was brittle, and BrittleRefusals the requests that it
	// turned away for want of room while it was.
	Falls           int
	BrittleRefusals int
	// LimitedArrivals are the arrivals of callers' requests while a limit was stated.
	LimitedArrivals []time.Time
}

// OwnerAlternations returns how often ownership went back to a former owner less than
// gap after that owner was replaced.
func (r ReplicaRecord) OwnerAlternations(gap time.Duration) int {
	return len(ownerTurns(r.Commands, gap))
}
