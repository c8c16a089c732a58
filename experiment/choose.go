package experiment

func (s *sim) candidates(f *flow, exclude string) []string {
	names := s.names
	if exclude != "" {
		names = nil
		for _, n := range s.names {
			if n != exclude {
				names = append(names, n)
			}
		}
	}
	switch {
	case s.p.Oracle:
		return []string{s.leastBusy(names)}
	case s.p.LeastLoaded:
		return []string{s.leastReported(names, f.r.Adapter)}
	}
	return f.router.Candidates(s.clock(), f.r.Adapter, names, f.r.Short)
}

// leastBusy knows the true state: the work that is left, and slow spells.
func (s *sim) leastBusy(names []string) string {
	best, bestLoad := "", 0.0
	for _, n := range names {
		e := s.byName[n]
		load := float64(len(e.streams)+len(e.waiting)+1) * max(1, e.batch.Slowdown)
		if best == "" || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

// leastReported prefers engines that hold the adapter, by the late reports.
func (s *sim) leastReported(names []string, adapter string) string {
	best, bestLoad, bestHolds := "", 0, false
	for _, n := range names {
		e := s.byName[n]
		holds := e.holds(adapter)
		if best == "" || holds && !bestHolds || holds == bestHolds && e.report < bestLoad {
			best, bestLoad, bestHolds = n, e.report, holds
		}
	}
	return best
}
