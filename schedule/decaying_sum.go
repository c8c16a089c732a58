package schedule

import (
	"math"
	"time"
)

// decayingSum is a sum whose terms lose weight exponentially. The zero value is a sum of zero.
type decayingSum struct {
	sum float64
	set time.Time
}

func (d *decayingSum) add(now time.Time, halfLife time.Duration, x float64) {
	d.sum, d.set = max(0, d.at(now, halfLife)+x), now
}

func (d *decayingSum) at(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 || !now.After(d.set) {
		return d.sum
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.set))/float64(halfLife))
}
