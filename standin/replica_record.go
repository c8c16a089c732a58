package standin

import "time"

// ReplicaRecord is what a replica saw, for a test to judge by.
type ReplicaRecord struct {
	Ran     map[string]int // runs by request id
	Crashes int            // by orders beyond the adapter slots
	Turns   []Turn
}

// Turn is an order as it arrived.
type Turn struct {
	Holder string
	Token  int64
	At     time.Time
}

// BackAndForth returns how often the holder changed back to one that had given
// way to another less than gap before.
func (r ReplicaRecord) BackAndForth(gap time.Duration) int {
	n := 0
	gaveWay := make(map[string]time.Time)
	for i, t := range r.Turns[min(1, len(r.Turns)):] {
		before := r.Turns[i]
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
