package engine

import (
	"context"
	"maps"
	"slices"
	"time"
)

// recordUnanswered records a load command that the engine may still execute.
func (s *Sequencer) recordUnanswered(c Command) {
	if !c.Load {
		return
	}
	s.LateLoads.Add(LateLoad{c.ExpectedSequence, time.Now()})
	if s.OnLateLoad != nil {
		s.OnLateLoad()
	}
}

// startClockMargin allows for the difference between the clocks of an engine and of this VM.
const startClockMargin = 2 * time.Second

// ReservedSlots returns the number of slots that the sequencer keeps free for load commands without
// a reply. A scheduler that fills these slots loses the work of the adapters that are then unloaded.
func (s *Sequencer) ReservedSlots(now time.Time) int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservedSlots(now)
}

// MayHaveUnknownLoad reports whether a load command of a former owner may still be executed that is not in
// LateLoads.
func (s *Sequencer) MayHaveUnknownLoad(now time.Time) bool {
	s.init()
	return s.TakenOver && now.Sub(s.begun) < maxCommandDelay
}

// mayHaveFormerLoad reports whether an unknown load command of a former owner, sent to an earlier start of
// the engine, may still be executed. The former owner kept a slot free in that case, so it cannot be
// if the engine had none. s.mu must be held.
func (s *Sequencer) mayHaveFormerLoad(now time.Time) bool {
	return s.TakenOver && s.boot != s.fullBoot && now.Sub(s.begun) < maxCommandDelay &&
		!s.startedAt.IsZero() && now.Sub(s.startedAt) < maxCommandDelay+startClockMargin
}

// reservedSlots returns the number of slots to keep free for load commands
// without a reply. While the engine keeps running, the next accepted command
// invalidates them. After a restart, however, the sequence number starts from 0
// and can reach their expected numbers again. Of the commands of a former owner that
// did not hand them on, one is assumed. The caller must hold s.mu.
func (s *Sequencer) reservedSlots(now time.Time) int {
	n := 0
	for _, load := range s.LateLoads.Pending(now) {
		if load.ExpectedSequence > s.sequence {
			n++
		}
	}
	if s.mayHaveFormerLoad(now) {
		n++
	}
	return min(n, s.Slots-1)
}

// makeRoom unloads unused adapters until there is a free slot for name.
func (s *Sequencer) makeRoom(ctx context.Context, name string, token int64) error {
	for attempt := 1; ; attempt++ {
		s.mu.Lock()
		_, present := s.adapters[name]
		full := !present && len(s.adapters)+s.reservedSlots(time.Now()) >= s.Slots
		others := slices.Sorted(maps.Keys(s.adapters))
		s.mu.Unlock()
		if !full {
			return nil
		}
		i := slices.IndexFunc(others, func(other string) bool { return s.InUse == nil || !s.InUse(other) })
		if i < 0 {
			return &Error{Op: "load", Kind: NoFreeSlot}
		}
		victim := others[i]
		if err := s.unload(ctx, victim, token); err != nil && (!IsKind(err, Refused) || attempt >= maxCommandAttempts) {
			return err
		}
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
}
