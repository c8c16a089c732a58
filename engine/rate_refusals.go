package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// refuseBeyondRate refuses the waiting work that a changed rate limit delays for too long. It would
// wait in vain, and the refusals of new work would name the time after it, when the engine has long
// been free.
func (s *Scheduler) refuseBeyondRate(now time.Time) []Action {
	waiting := slices.SortedFunc(maps.Values(s.waiting), func(a, b *Work) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
	var acts []Action
	ahead := 0
	for _, w := range waiting {
		wait := s.rate.Wait(now, ahead)
		if wait == 0 || !w.cannotWait(now, wait) {
			ahead++
			continue
		}
		s.dequeue(w)
		acts = append(acts, s.refuse(w, Limited, wait))
	}
	return acts
}
