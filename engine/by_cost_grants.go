package engine

import (
	"math"
)

const (
	// demandLeadSeconds is by how much the load of an adapter may overtake loads of its level for each
	// request that waits for it. Where there are many adapters, loads and slots are scarce, and one load
	// serves all of these requests.
	demandLeadSeconds = 0.3
	// memoryShare is the part of the engine's memory that is used. Some responses are longer than
	// expected, and an engine without memory preempts others.
	memoryShare = 0.9
)

// nextByCost returns the waiting work to grant next, or nil. While the memory has no room for it,
// only small work overtakes it, of which a batch fits in any case.
func (s *Scheduler) nextByCost(long bool) *Work {
	best := s.bestWaiting(func(w *Work) bool { return long || w.Short })
	if best == nil || s.fits(best) {
		return best
	}
	small := s.cfg.KVCapacity / s.cfg.BatchSize
	return s.bestWaiting(func(w *Work) bool { return (long || w.Short) && w.tokens() <= small && s.fits(w) })
}

// fits reports whether the engine's memory has room for work. Work that exceeds the memory alone
// runs alone.
func (s *Scheduler) fits(w *Work) bool {
	if s.cfg.KVCapacity <= 0 || len(s.running) == 0 {
		return true
	}
	return s.tokensInUse+w.tokens() <= int(memoryShare*float64(s.cfg.KVCapacity))
}

// nextLoadByCost returns the absent adapter to load next, or nil: the one whose first work has the
// lowest key, where much waiting work makes up for a short time.
func (s *Scheduler) nextLoadByCost() *adapter {
	var best *adapter
	bestKey := math.Inf(1)
	for a := range s.cold {
		key := a.waiting[0].key - demandLeadSeconds*float64(len(a.waiting))
		if key < bestKey || key == bestKey && a.name < best.name {
			best, bestKey = a, key
		}
	}
	return best
}
