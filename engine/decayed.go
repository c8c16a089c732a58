package engine

import (
	"math"
	"time"
)

// DecayingCounter counts events, of which each counts half after a half-life. The zero
// value has counted none.
type DecayingCounter struct {
	n  float64
	at time.Time
}

// Add counts one event and returns the count.
func (d *DecayingCounter) Add(now time.Time, halfLife time.Duration) float64 {
	d.n = d.At(now, halfLife) + 1
	d.at = now
	return d.n
}

// At returns the count.
func (d *DecayingCounter) At(now time.Time, halfLife time.Duration) float64 {
	if d.n == 0 {
		return 0
	}
	return d.n * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}
