package engine

import (
	"time"
)

// Reconcile updates the slots from a load report that is newer than every
// command sent: adapters missing from the report are removed, and unknown ones
// are added as loaded. It does nothing while a load is in progress.
func (s *Scheduler) Reconcile(now time.Time, reported []string) []Action {
	if s.loadsRunning > 0 {
		return nil
	}
	isReported := make(map[string]bool, len(reported))
	for _, name := range reported {
		isReported[name] = true
		if a := s.adapter(name); a.state == absent {
			s.takeSlot(a)
			a.state, a.swap, a.lastUsed, a.loadedAt = loaded, s.cfg.NeedsIntents, now, now
			s.updateCold(a)
		}
	}
	for i := len(s.resident) - 1; i >= 0; i-- {
		if a := s.resident[i]; a.state == loaded && !isReported[a.name] {
			s.freeSlot(a)
		}
	}
	return s.dispatch(now, nil)
}

// Reset empties the slots after the engine restarted without adapters.
func (s *Scheduler) Reset(now time.Time) []Action {
	for i := len(s.resident) - 1; i >= 0; i-- {
		if a := s.resident[i]; a.state == loaded {
			s.freeSlot(a)
		}
	}
	return s.dispatch(now, nil)
}

// Adopt initialises a new owner's scheduler with the state found at the engine:
// the adapters in its slots, some of them possibly locked, and the streams that
// run under grants of a former owner.
func (s *Scheduler) Adopt(now time.Time, resident []ResidentAdapter, streams []Work) []Action {
	for _, r := range resident {
		a := s.adapter(r.Adapter)
		if a.state == absent {
			s.takeSlot(a)
		}
		a.state, a.swap, a.lastUsed = loaded, r.Swap, now
		for a.popularity.At(now, s.cfg.HalfLife) < adoptedPopularity {
			a.popularity.Add(now, s.cfg.HalfLife)
		}
		if r.Locked {
			a.state = locked
		}
		s.updateCold(a)
	}
	for i := range streams {
		s.recordGrant(now, &streams[i])
	}
	return s.dispatch(now, nil)
}

// adoptedPopularity is the initial popularity of an adapter found by a new owner,
// in requests. The former owner's popularity count is lost; without this
// value, adapters in use would be evicted before one loaded for a single request.
const adoptedPopularity = 3

// UnlockAdapters makes locked adapters available for grants and eviction.
func (s *Scheduler) UnlockAdapters(now time.Time) []Action {
	for _, a := range s.resident {
		if a.state == locked {
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

// Resident returns the adapters in slots, in unspecified order. Adapters that
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
