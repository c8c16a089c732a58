package table

import "time"

// SessionMonitor is the taker's side of sessions: it notes when each session row was
// first seen at its present version. No clock is compared between VMs.
type SessionMonitor struct {
	TTL    time.Duration
	Margin time.Duration

	seen map[string]sighting
}

type sighting struct {
	version int64
	first   time.Time
}

// Observe records the version of a session row that was read at now. The time
// must be taken after the read was answered.
func (w *SessionMonitor) Observe(key string, version int64, now time.Time) {
	if w.seen == nil {
		w.seen = make(map[string]sighting)
	}
	if s, ok := w.seen[key]; ok && s.version == version {
		return
	}
	w.seen[key] = sighting{version: version, first: now}
}

// RestartTimers counts every session as seen at its present version only from now
// on. It is for a time in which the rows could not be read: a holder could not
// renew its row then either.
func (w *SessionMonitor) RestartTimers(now time.Time) {
	for key, s := range w.seen {
		s.first = now
		w.seen[key] = s
	}
}

// UnchangedFor returns how long a session row has been seen at its present
// version.
func (w *SessionMonitor) UnchangedFor(key string, now time.Time) time.Duration {
	s, ok := w.seen[key]
	if !ok {
		return 0
	}
	return now.Sub(s.first)
}

// Forget drops what is known of a session row.
func (w *SessionMonitor) Forget(key string) { delete(w.seen, key) }

// Expired reports whether the holder of the session can no longer trust it.
func (w *SessionMonitor) Expired(key string, now time.Time) bool {
	s, ok := w.seen[key]
	return ok && now.Sub(s.first) > w.TTL+w.Margin
}
