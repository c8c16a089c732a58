package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanilladrift/vanilladrift/settings"
)

// Limiter enforces the concurrency and rate limits of branches. Branches that
// inherit a limit share it with the branch that sets it. The zero value is
// ready to use.
type Limiter struct {
	mu     sync.Mutex
	active map[string]int
	rates  map[string]*rate.Limiter
}

const concurrencyRetry = 200 * time.Millisecond

// TryAdd admits one request or refuses it with the time to come back. The
// caller must call leave when the request ends.
func (l *Limiter) Admit(now time.Time, e *settings.Effective) (leave func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active, l.rates = make(map[string]int), make(map[string]*rate.Limiter)
	}
	if l.active[e.ConcurrencyScope] >= e.Concurrency {
		err := refusal("limit", ConcurrencyLimit, "too many requests in flight on branch "+e.ConcurrencyScope)
		err.RetryAfter = concurrencyRetry
		return nil, err
	}
	lim := l.rate(now, e)
	if res := lim.ReserveN(now, 1); res.DelayFrom(now) > 0 {
		err := refusal("limit", RateLimit, "too many requests a second on branch "+e.RateScope)
		err.RetryAfter = res.DelayFrom(now)
		res.CancelAt(now)
		return nil, err
	}
	scope := e.ConcurrencyScope
	l.active[scope]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.active[scope]--; l.active[scope] == 0 {
			delete(l.active, scope)
		}
	}, nil
}

func (l *Limiter) rate(now time.Time, e *settings.Effective) *rate.Limiter {
	lim := l.rates[e.RateScope]
	burst := max(1, int(e.Rate))
	if lim == nil {
		lim = rate.NewLimiter(rate.Limit(e.Rate), burst)
		l.rates[e.RateScope] = lim
	}
	if lim.Limit() != rate.Limit(e.Rate) {
		lim.SetLimitAt(now, rate.Limit(e.Rate))
		lim.SetBurstAt(now, burst)
	}
	return lim
}
