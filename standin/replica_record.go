package standin

import "time"

// ReplicaRecord is what a replica saw, for a test to judge by.
type ReplicaRecord struct {
	Executions map[string]int // runs by request id
	Crashes    int            // by orders beyond the adapter slots
	Commands   []ReceivedCommand
}

// ReceivedCommand is an order as it arrived.
type ReceivedCommand struct {
	Holder       string
	FencingToken int64
	At           time.Time
}

// OwnerAlternations returns how often the holder changed back to one that had given
// way to another less than gap before.
func (r ReplicaRecord) OwnerAlternations(gap time.Duration) int {
	n := 0
	gaveWay := make(map[string]time.Time)
	for i, t := range r.Commands[min(1, len(r.Commands)):] {
		before := r.Commands[i]
		if before.Holder == t.Holder {
			continue
		}
		if at, ok := gaveWay[t.Holder]; ok && t.At.Sub(at) < gap {
			n++
		}
		gaveWay[before.Holder] = t.At
	}
	return n
}
