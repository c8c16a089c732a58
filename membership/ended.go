package membership

import "time"

// EndedSessions records since when sessions are known to have ended. A session that has
// ended gives no more consent, so after a lease its witness counts as having promised.
type EndedSessions struct {
	LeaseTime time.Duration

	since map[string]time.Time
}

// Observe records whether a session was in force when the sessions were read, and
// reports whether its last consent can no longer be in use.
func (e *EndedSessions) Observe(session string, inForce bool, now time.Time) bool {
	if inForce {
		delete(e.since, session)
		return false
	}
	if e.since == nil {
		e.since = make(map[string]time.Time)
	}
	at, ok := e.since[session]
	if !ok {
		e.since[session] = now
		return false
	}
	return now.Sub(at) > e.LeaseTime
}
