package engine

import (
	"time"
)

// Reconcile corrects the slots after a report that is newer than every order: an
// adapter that the engine does not hold leaves its slot, one that it holds
// beyond what the scheduler knows takes one. It does nothing while a load is
// under way.
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

// Reset records that the engine restarted cold: it holds nothing.
func (s *Scheduler) Reset(now time.Time) []Action {
	for i := len(s.resident) - 1; i >= 0; i-- {
		if a := s.resident[i]; a.state == loaded {
			s.vacate(a)
		}
	}
	return s.dispatch(now, nil)
}

// Adopt records what a new owner found at the engine: adapters that may be
// granted, adapters that sit in a slot but must not be granted yet, and
// streams that run under grants of an earlier owner.
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

// adoptedRequests is how many requests an adapter that a new owner finds is
// taken to have had. The earlier owner knew why it held it, so it is not evicted
// before what is loaded for a single request.
const adoptedRequests = 3

// UnlockAdapters lets held adapters be granted and evicted.
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
	Swap    bool // it sits in a swap slot
	Locked  bool // it must not be granted or evicted yet
}

// NeedsAdapter reports whether an adapter is in a slot or work waits for it.
func (s *Scheduler) NeedsAdapter(name string) bool {
	a := s.adapters[name]
	return a != nil && (a.state != absent || len(a.waiting) > 0)
}

// ResidentAdapter lists the adapters in slots, in no order.
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
