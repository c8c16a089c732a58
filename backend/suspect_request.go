package backend

import (
	"slices"
	"time"
)

// suspectRequest is a request that servers broke off, of any caller.
type suspectRequest struct {
	crashes   []knownCrash
	lastCrash time.Time
	completed time.Time                      // when it last had a complete response of any caller's
	held      map[CallerHash]*quarantineTerm // the quarantines, by caller
}

type knownCrash struct {
	RequestCrash
	told bool // all nodes know it
	// watched is set if all nodes knew before that the request is suspected, so that they have told
	// of complete responses of other callers since.
	watched bool
}

// crashSharingTime is the time in which all nodes are told of crashes.
const crashSharingTime = time.Second

// maxCrashesOfRequest bounds the crashes that are remembered of one request.
const maxCrashesOfRequest = 16

// isShared reports whether all nodes know that the request is suspected.
func (r *suspectRequest) isShared() bool {
	return len(r.held) > 0 || slices.ContainsFunc(r.crashes, func(c knownCrash) bool { return c.told })
}

// isEmpty reports whether nothing is held against the request.
func (r *suspectRequest) isEmpty() bool { return len(r.crashes) == 0 && len(r.held) == 0 }

func (r *suspectRequest) hold(caller CallerHash, term *quarantineTerm) {
	if r.held == nil {
		r.held = make(map[CallerHash]*quarantineTerm)
	}
	r.held[caller] = term
}

// clear records a complete response of a caller's, and reports whether it changes anything.
func (r *suspectRequest) clear(now time.Time, caller CallerHash) bool {
	isNew := slices.ContainsFunc(r.crashes, func(c knownCrash) bool { return c.Fingerprint.Caller == caller || !c.At.Before(r.completed) })
	if !isNew && r.held[caller] == nil && r.held[CallerHash{}] == nil {
		return false
	}
	r.completed = now
	r.crashes = slices.DeleteFunc(r.crashes, func(c knownCrash) bool { return c.Fingerprint.Caller == caller })
	delete(r.held, caller)
	delete(r.held, CallerHash{})
	return true
}

// add records a crash if it was not known.
func (r *suspectRequest) add(now time.Time, c RequestCrash, told bool) {
	r.crashes = slices.DeleteFunc(r.crashes, func(old knownCrash) bool { return now.Sub(old.At) > crashRetention })
	if i := slices.IndexFunc(r.crashes, c.isSame); i >= 0 {
		r.crashes[i].told = r.crashes[i].told || told
		return
	}
	if len(r.crashes) < maxCrashesOfRequest {
		r.crashes, r.lastCrash = append(r.crashes, knownCrash{c, told, r.isWatched(c.At)}), now
	}
}

// isWatched reports whether all nodes knew at a time that the request is suspected.
func (r *suspectRequest) isWatched(at time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c knownCrash) bool { return c.told && at.Sub(c.At) > crashSharingTime })
}

// takeUntold returns the crashes that not all nodes know, and marks them as told.
func (r *suspectRequest) takeUntold() (list []RequestCrash) {
	for i := range r.crashes {
		if !r.crashes[i].told {
			list = append(list, r.crashes[i].RequestCrash)
			r.crashes[i].told = true
		}
	}
	return list
}

// isSame reports whether two events are of the same crash: of the same incarnation, which cannot
// have started again in between. Its row may lag behind and show one incarnation for two.
func (c RequestCrash) isSame(other knownCrash) bool {
	return c.Incarnation == other.Incarnation && c.At.Sub(other.At).Abs() < engineRestartTime
}

// isAtFault reports whether the request of a caller, or of all, crashes servers: there are enough
// crashes at about the same place of its response, which do not come from one failure of several
// servers at once.
func (r *suspectRequest) isAtFault(caller CallerHash) bool {
	crashes := slices.SortedFunc(slices.Values(r.crashes), func(a, b knownCrash) int { return a.At.Compare(b.At) })
	crashes = slices.DeleteFunc(crashes, func(c knownCrash) bool {
		if caller == (CallerHash{}) {
			return !c.watched || c.At.Before(r.completed)
		}
		return c.Fingerprint.Caller != caller
	})
	return slices.ContainsFunc(crashes, func(c knownCrash) bool { return areApart(crashes, c.Events) })
}

// areApart reports whether enough of the crashes, which are sorted by time, came after the given
// number of events or one more, and apart from each other.
func areApart(crashes []knownCrash, events int) bool {
	var last time.Time
	n, incarnations := 0, make(map[string]bool)
	for _, c := range crashes {
		if c.Events != events && c.Events != events+1 {
			continue
		}
		wasSentBefore := c.At.Add(-c.InFlight).Before(last)
		if n > 0 && wasSentBefore && c.At.Sub(last) <= sameCrashTime {
			continue
		}
		n, last = n+1, c.At
		incarnations[c.Incarnation] = true
	}
	return n >= requestCrashes && len(incarnations) >= requestIncarnations
}
