package engine

import (
	"context"
	"maps"
	"slices"
	"time"
)

// unanswered is a load command without a reply.
type unanswered struct {
	expected int64
	at       time.Time
}

// noteUnanswered records a load command that the engine may still execute.
func (s *Sequencer) noteUnanswered(c Command) {
	if !c.Load {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, unanswered{c.ExpectedSequence, time.Now()})
}

// reserved returns the number of slots to keep free for load commands without a
// reply. While the engine runs on, the next accepted command invalidates them. After
// a restart, the sequence starts again from 0 and can reach their expected numbers
// once more. The caller holds s.mu.
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

// makeRoom unloads unused adapters until there is a free slot for name.
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
			return &Error{Op: "load", Kind: Full}
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
