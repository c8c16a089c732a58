package membership

import "time"

// EndedSessions records since when sessions are known to have ended. A session that has
// ended gives no more consent, so after a lease its witness counts as having promised.
//
// Only the times of reads count: a view that is not read anew may lack a session that began
// since.
type EndedSessions struct {
	LeaseTime time.Duration

	inForce map[string]bool      // by the last read
	readAt  time.Time            // of the last read
	since   map[string]time.Time // the first read that did not list a session
}

// Read records the sessions that were in force when the rows were read.
func (e *EndedSessions) Read(inForce map[string]bool, now time.Time) {
	e.inForce, e.readAt = inForce, now
	for session := range e.since {
		if inForce[session] {
			delete(e.since, session)
		}
	}
}

// Ended reports whether the last consent of a session can no longer be in use, since the
// session had ended at a read longer than a lease before the last one.
func (e *EndedSessions) Ended(session string) bool {
	if e.inForce[session] {
		return false
	}
	if e.since == nil {
		e.since = make(map[string]time.Time)
	}
	at, ok := e.since[session]
	if !ok {
		e.since[session] = e.readAt
		return false
	}
	return e.readAt.Sub(at) > e.LeaseTime
}
