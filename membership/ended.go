package membership

import "time"

// EndedSessions records since when sessions are known to have ended. A session that has
// ended gives no more consent, so after a lease its witness counts as having promised.
//
// Only the times of reads count: a view that is not read anew may lack a session that began
// since.
type EndedSessions struct {
	LeaseTime time.Duration
	// Retention is how long an ended session is remembered: longer than a lease can be extended
	// by its witness.
	Retention time.Duration

	inForce map[string]bool      // by the last read
	readAt  time.Time            // of the last read
	since   map[string]time.Time // the first read that did not list a session
}

// Read records the sessions that were in force when the rows were read.
func (e *EndedSessions) Read(inForce map[string]bool, now time.Time) {
	for session, was := range e.inForce {
		if was && !inForce[session] {
			e.record(session, now)
		}
	}
	e.inForce, e.readAt = inForce, now
	for session, at := range e.since {
		if inForce[session] || now.Sub(at) > e.Retention {
			delete(e.since, session)
		}
	}
}

func (e *EndedSessions) record(session string, now time.Time) {
	if e.since == nil {
		e.since = make(map[string]time.Time)
	}
	e.since[session] = now
}

// Ended reports whether the last consent of a session can no longer be in use, since the
// session had ended at a read longer than a lease before the last one.
func (e *EndedSessions) Ended(session string) bool {
	if e.inForce[session] {
		return false
	}
	at, ok := e.since[session]
	if !ok {
		e.record(session, e.readAt)
		return false
	}
	return e.readAt.Sub(at) > e.LeaseTime
}
