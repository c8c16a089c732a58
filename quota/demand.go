package quota

import (
	"math"
	"time"
)

// demand estimates what arrives within a lease time. The zero value has seen nothing.
type demand struct {
	sum float64 // decays over the lease time
	at  time.Time
}

// within returns the estimate: the sum of what arrived, each cost weighted by its age.
func (d *demand) within(leaseTime time.Duration, now time.Time) float64 {
	return d.sum * math.Exp(-max(0, now.Sub(d.at).Seconds())/leaseTime.Seconds())
}

func (d *demand) add(leaseTime time.Duration, now time.Time, cost float64) {
	d.sum, d.at = d.within(leaseTime, now)+cost, now
}
