package table

import "time"

// SessionMonitor detects expired sessions of other nodes. It records when each
// session row was first seen at its current version, on the local clock only, so
// that clocks of VMs need not agree.
type SessionMonitor struct {
	TTL    time.Duration
	Margin time.Duration

	observations map[string]observation
}

type observation struct {
	version int64
	since   time.Time
}

// Observe records the version of a session row that was read. The time now must
// be taken after the read returned.
func (m *SessionMonitor) Observe(key string, version int64, now time.Time) {
	if m.observations == nil {
		m.observations = make(map[string]observation)
	}
	if o, ok := m.observations[key]; ok && o.version == version {
		return
	}
	m.observations[key] = observation{version: version, since: now}
}

// RestartTimers treats every session as first seen at its current version now.
// Call it after the rows could not be read for a while: the holders could not
// renew them either.
func (m *SessionMonitor) RestartTimers(now time.Time) {
	for key, o := range m.observations {
		o.since = now
		m.observations[key] = o
	}
}

// UnchangedFor returns how long a session row has been seen at its current
// version, or 0 for an unknown row.
func (m *SessionMonitor) UnchangedFor(key string, now time.Time) time.Duration {
	o, ok := m.observations[key]
	if !ok {
		return 0
	}
	return now.Sub(o.since)
}

// Forget drops the record of a session row.
func (m *SessionMonitor) Forget(key string) { delete(m.observations, key) }

// Expired reports whether the holder's lease of the session has certainly ended.
func (m *SessionMonitor) Expired(key string, now time.Time) bool {
	o, ok := m.observations[key]
	return ok && now.Sub(o.since) > m.TTL+m.Margin
}
