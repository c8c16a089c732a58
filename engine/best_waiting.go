package engine

import "math"

// bestWaiting returns the work with the lowest key that waits for a loaded adapter and may be
// granted.
func (s *Scheduler) bestWaiting(may func(w *Work) bool) *Work {
	var best *Work
	bestKey := math.Inf(1)
	for _, a := range s.resident {
		if a.state != loaded || len(a.waiting) == 0 {
			continue
		}
		w := a.waiting.firstThat(may)
		if w == nil {
			continue
		}
		key := w.key
		if a.pins > 0 {
			key -= s.cfg.BatchBonus
		}
		if key < bestKey {
			best, bestKey = w, key
		}
	}
	return best
}

// firstThat returns the work with the lowest key that may be granted, or nil. The linear search is
// cheap, since an adapter's queue rarely mixes work that may be granted with other work.
func (h workHeap) firstThat(may func(w *Work) bool) *Work {
	if may(h[0]) {
		return h[0]
	}
	var best *Work
	for _, w := range h {
		if (best == nil || w.key < best.key) && may(w) {
			best = w
		}
	}
	return best
}
