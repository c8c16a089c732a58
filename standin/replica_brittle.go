package standin

import "time"

// statedRefusals returns the number of refusals a second that the replica states it bears, or 0.
func (r *Replica) statedRefusals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Brittle
}

// tryWait counts a request that waits for a request slot, and reports whether it may. Only a brittle
// replica counts them.
func (r *Replica) tryWait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.fault.BrittleQueue; q != nil && r.waiting >= *q+cap(r.requestSlots)-len(r.requestSlots) {
		return false
	}
	r.waiting++
	return true
}

func (r *Replica) endWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// recordRefusal records that a request was turned away for want of room. A brittle replica falls over if
// there are too many in a second.
func (r *Replica) recordRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Brittle == 0 || r.isDown {
		return
	}
	recent := r.refusals[:0]
	for _, at := range r.refusals {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	r.refusals = append(recent, now)
	r.record.BrittleRefusals++
	if len(r.refusals) > r.fault.Brittle {
		r.refusals = nil
		r.record.Falls++
		r.fall(r.fault.BrittleDowntime)
	}
}
