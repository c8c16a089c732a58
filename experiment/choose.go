package experiment

// candidates returns the engines to try, the preferred one first.
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
	case s.policy.Oracle:
		return []string{s.leastLoaded(names)}
	case s.policy.LeastLoaded:
		return []string{s.leastReportedLoad(names, f.request.Adapter)}
	}
	return f.router.Candidates(s.clock(), f.request.Adapter, names, f.request.Short)
}

// leastLoaded returns the engine with the fewest requests, weighted by the factor of
// its present slowdown. Only the oracle knows this state.
func (s *sim) leastLoaded(names []string) string {
	best, bestLoad := "", 0.0
	for _, n := range names {
		e := s.byName[n]
		load := float64(len(e.running)+len(e.waiting)+1) * max(1, e.batch.Slowdown)
		if best == "" || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

// leastReportedLoad returns the engine with the lowest reported load among those that
// have loaded the adapter, or among all engines if none has.
func (s *sim) leastReportedLoad(names []string, adapter string) string {
	best, bestLoad, bestHolds := "", 0, false
	for _, n := range names {
		e := s.byName[n]
		holds := e.hasLoaded(adapter)
		if best == "" || holds && !bestHolds || holds == bestHolds && e.reportedLoad < bestLoad {
			best, bestLoad, bestHolds = n, e.reportedLoad, holds
		}
	}
	return best
}
