package engine

import "time"

const (
	// rateBurst is the largest number of requests that a server gets at once after a quiet
	// period.
	rateBurst = 2
	// LeastRate is the least rate, in requests a second, at which a server gets requests, also
	// if its limit is lower. Without any, it could not say that it has ended its limit.
	LeastRate = 0.1
	// shortestRateWait and longestRateWait bound a wait: a shorter one may be over before its
	// request may be sent, by rounding, and a rate of 0 has none.
	shortestRateWait = time.Millisecond
	longestRateWait  = time.Hour
)

// RateLimit spaces the requests to a server by its limit. The zero value has no limit.
type RateLimit struct {
	limited bool
	rate    float64 // requests a second
	tokens  float64 // requests that may be sent at setAt; below 0 after more than that
	setAt   time.Time
}

// Set sets the limit. A new limit begins without requests to spare.
func (l *RateLimit) Set(now time.Time, perSecond float64, limited bool) {
	if limited && !l.limited {
		l.tokens = 0
	} else {
		l.tokens = l.available(now)
	}
	l.setAt, l.limited, l.rate = now, limited, perSecond
}

// Spare gives a part of a request to spare, at the beginning of a limit.
func (l *RateLimit) Spare(part float64) { l.tokens += part }

// available returns the number of requests that may be sent now.
func (l *RateLimit) available(now time.Time) float64 {
	return min(rateBurst, l.tokens+l.rate*now.Sub(l.setAt).Seconds())
}

// CanTake reports whether a request may be sent now.
func (l *RateLimit) CanTake(now time.Time) bool { return !l.limited || l.available(now) >= 1 }

// Take counts a request that is sent now, also beyond the limit.
func (l *RateLimit) Take(now time.Time) {
	l.tokens, l.setAt = l.available(now)-1, now
}

// Wait returns the time until one more request may be sent after those ahead of it.
func (l *RateLimit) Wait(now time.Time, ahead int) time.Duration {
	missing := 1 + float64(ahead) - l.available(now)
	if !l.limited || missing <= 0 {
		return 0
	}
	if missing >= l.rate*longestRateWait.Seconds() {
		return longestRateWait
	}
	return max(shortestRateWait, time.Duration(missing/l.rate*float64(time.Second)))
}
