package backend

import "time"

const (
	// quarantineTime is the time until a quarantine is tested by one request. It grows with
	// each test.
	quarantineTime = time.Minute
	// trialWait is how long requests are rejected again while another node is to test it.
	trialWait = 5 * time.Second
)

// quarantineTerm is how long a quarantine lasts until it is tested.
type quarantineTerm struct {
	until  time.Time
	length time.Duration
}

// admit decides about a request that is held back. It returns how long the request must not be
// sent, or that it is the trial by which the quarantine is tested. A trial begins the next term,
// which is grow times as long and at most maxLength.
func (t *quarantineTerm) admit(now time.Time, isTrialNode func() bool, grow int, maxLength time.Duration) (left time.Duration, trial bool) {
	switch {
	case t.until.After(now):
		return t.until.Sub(now), false
	case !isTrialNode():
		return trialWait, false
	}
	t.length = min(time.Duration(grow)*t.length, maxLength)
	t.until = now.Add(t.length) // a response ends it
	return 0, true
}

// left returns how long a request that was admitted before must not be sent any more.
func (t *quarantineTerm) left(now time.Time) time.Duration { return max(trialWait, t.until.Sub(now)) }

// isLonger reports whether the term ends later than another one.
func (t *quarantineTerm) isLonger(other *quarantineTerm) bool { return t.until.After(other.until) }
