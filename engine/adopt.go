package engine

import (
	"time"
)

// Reconcile reconciles the slots with a load report that is newer than every
// command sent: adapters missing from the report are removed, and unknown ones
// are added as loaded. It does nothing while a load is in progress.
func (s *Scheduler) Reconcile(now time.Time, holds []string) []Action {
	if s.loads > 0 {
		return nil
	}
	inEngine := make(map[string]bool, len(holds))
	for _, name := range holds {
		inEngine[name] = true
		if a := s.adapter(name); a.state == absent {
			s.occupy(a)
			a.state, a.swap, a.used, a.loadedAt = loaded, s.cfg.NeedsIntents, now, now
			s.refile(a)
		}
	}
	for i := len(s.resident) - 1; i >= 0; i-- {
		if a := s.resident[i]; a.state == loaded && !inEngine[a.name] {
			s.vacate(a)
		}
	}
	return s.dispatch(now, nil)
}

// Reset empties the slots after the engine restarted without adapters.
func (s *Scheduler) Reset(now time.Time) []Action {
	for i := len(s.resident) - 1; i >= 0; i-- {
		if a := s.resident[i]; a.state == loaded {
			s.vacate(a)
		}
	}
	return s.dispatch(now, nil)
}

// Adopt initialises a new owner's scheduler with the state found at the engine:
// the adapters in its slots, some of them possibly locked, and the streams that
// run under grants of an earlier owner.
func (s *Scheduler) Adopt(now time.Time, resident []ResidentAdapter, streams []Work) []Action {
	for _, r := range resident {
		a := s.adapter(r.Adapter)
		if a.state == absent {
			s.occupy(a)
		}
		a.state, a.swap, a.used = loaded, r.Swap, now
		for a.pop.At(now, s.cfg.HalfLife) < adoptedRequests {
			a.pop.Add(now, s.cfg.HalfLife)
		}
		if r.Locked {
			a.state = held
		}
		s.refile(a)
	}
	for i := range streams {
		s.pin(now, &streams[i])
	}
	return s.dispatch(now, nil)
}

// adoptedRequests is the initial popularity of an adapter found by a new owner,
// in requests. The earlier owner's popularity count is lost; without this
// value, adapters in use would be evicted before one loaded for a single request.
const adoptedRequests = 3

// UnlockAdapters makes locked adapters available for grants and eviction.
func (s *Scheduler) UnlockAdapters(now time.Time) []Action {
	for _, a := range s.resident {
		if a.state == held {
			a.state = loaded
		}
	}
	return s.dispatch(now, nil)
}

// ResidentAdapter is an adapter in a slot of the engine.
type ResidentAdapter struct {
	Adapter string
	Swap    bool // in a swap slot
	Locked  bool // must not be granted or evicted yet
}

// NeedsAdapter reports whether the adapter is in a slot or has queued work.
func (s *Scheduler) NeedsAdapter(name string) bool {
	a := s.adapters[name]
	return a != nil && (a.state != absent || len(a.waiting) > 0)
}

// ResidentAdapter returns the adapters in slots, in unspecified order. Adapters that
// are being loaded or unloaded are listed as locked.
func (s *Scheduler) Resident() []ResidentAdapter {
	list := make([]ResidentAdapter, 0, len(s.resident))
	for _, a := range s.resident {
		if a == s.base {
			continue
		}
		list = append(list, ResidentAdapter{Adapter: a.name, Swap: a.swap, Locked: a.state != loaded})
	}
	return list
}
