package standin

import "time"

// statedLimit returns the limit that the replica states in its responses, or "".
func (r *Replica) statedLimit() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Limit
}

// recordArrival records the arrival of a caller's request while a limit is stated.
func (r *Replica) recordArrival(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Limit != "" {
		r.record.LimitedArrivals = append(r.record.LimitedArrivals, now)
	}
}

// MostWithin returns the largest number of arrivals in a period of length d that begins at
// or after from.
func MostWithin(arrivals []time.Time, from time.Time, d time.Duration) (most int) {
	first := 0
	for i, at := range arrivals {
		for arrivals[first].Before(from) && first < i || at.Sub(arrivals[first]) >= d {
			first++
		}
		if !arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}
