package engine

import (
	"context"
	"maps"
	"slices"
	"time"
)

// unanswered is a load without an answer.
type unanswered struct {
	expected int64
	at       time.Time
}

// noteUnanswered remembers a load that may still be carried out.
func (s *Sequencer) noteUnanswered(c Command) {
	if !c.Load {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, unanswered{c.ExpectedSequence, time.Now()})
}

// reserved returns how many slots must stay free for loads that were not
// answered. Within one start of the engine the next order makes them void; after
// a restart the sequence comes by their numbers again. The lock is held.
func (s *Sequencer) reserved(now time.Time) int {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(u unanswered) bool { return now.Sub(u.at) > lateLimit })
	n := 0
	for _, u := range s.unanswered {
		if u.expected > s.sequence {
			n++
		}
	}
	return min(n, s.Slots-1)
}

// makeRoom unloads adapters that nothing wants until a slot is free.
func (s *Sequencer) makeRoom(ctx context.Context, name string, token int64) error {
	for {
		s.mu.Lock()
		_, present := s.held[name]
		full := !present && len(s.held)+s.reserved(time.Now()) >= s.Slots
		others := slices.Sorted(maps.Keys(s.held))
		s.mu.Unlock()
		if !full {
			return nil
		}
		i := slices.IndexFunc(others, func(other string) bool { return s.InUse == nil || !s.InUse(other) })
		if i < 0 {
			return &Error{Op: "load", Kind: NoFreeSlot}
		}
		victim := others[i]
		if err := s.unload(ctx, victim, token); err != nil {
			return err
		}
		if err := s.settle(ctx); err != nil {
			return err
		}
	}
}
