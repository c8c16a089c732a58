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
	active map[string]int           // requests in flight, by concurrency scope
	rates  map[string]*rate.Limiter // by rate scope
}

const concurrencyRetryAfter = 200 * time.Millisecond

// Admit admits one request, or refuses it with a Retry-After time. The caller
// must call release when the request ends.
func (l *Limiter) Admit(now time.Time, e *settings.Effective) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active, l.rates = make(map[string]int), make(map[string]*rate.Limiter)
	}
	if l.active[e.ConcurrencyScope] >= e.Concurrency {
		err := notRunError("limit", ConcurrencyLimit, "too many requests in flight on branch "+e.ConcurrencyScope)
		err.RetryAfter = concurrencyRetryAfter
		return nil, err
	}
	limiter := l.rateLimiter(now, e)
	if res := limiter.ReserveN(now, 1); res.DelayFrom(now) > 0 {
		err := notRunError("limit", RateLimit, "too many requests a second on branch "+e.RateScope)
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

func (l *Limiter) rateLimiter(now time.Time, e *settings.Effective) *rate.Limiter {
	limiter := l.rates[e.RateScope]
	burst := max(1, int(e.Rate))
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(e.Rate), burst)
		l.rates[e.RateScope] = limiter
	}
	if limiter.Limit() != rate.Limit(e.Rate) {
		limiter.SetLimitAt(now, rate.Limit(e.Rate))
		limiter.SetBurstAt(now, burst)
	}
	return limiter
}
