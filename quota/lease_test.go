package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that come back before any keeper grants leases, and are refused for good then.
func TestRequestsComeBackWhenAKeeperGrants(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewLease(Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000})
	l.SetLimit(Limit{PerSecond: 29_000, Burst: 68_866}, 75)
	is.Equal(l.Take(now, 700).Verdict, Ask)
	ask := l.NewAsk(now, 700)
	l.Unanswered(now, false)
	d := l.Take(now, 700)
	is.Equal(d.Verdict, Refused)
	is.Equal(d.RetryAfter, keeperRetry)
	now = now.Add(ownShareAskInterval)
	is.Equal(l.Take(now, 700).Verdict, Ask) // the node asks again sooner
	l.Answered(now, now, ask, Answer{IsWaiting: true, RetryAfter: ownShareAskInterval})
	d = l.Take(now, 700)
	is.Equal(d.Verdict, Refused) // its own share allows one in four seconds
	is.Equal(d.RetryAfter, keeperRetry)
}
