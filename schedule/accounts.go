package schedule

import (
	"maps"
	"time"
)

const (
	// recentHalfLife and usualHalfLife are the times after which work counts half in the recent and
	// in the usual use of an account. The latter is many times as long as a burst.
	recentHalfLife = 5 * time.Second
	usualHalfLife  = 2 * time.Minute
	// shareFactor is how many times its usual part of the work an account may use recently before
	// it is above its share, and shareSlack how many requests beyond that. Without the slack, the
	// chance arrivals of small accounts, a few requests per half-life, would exceed it.
	shareFactor = 2
	shareSlack  = 3
	// newcomerShare is what each account is taken to use usually, as a part of the mean, so that
	// one that is new or seldom sends has a share.
	newcomerShare = 0.25
	// maxAccounts bounds the accounts that are remembered; beyond that, those least in use are
	// forgotten.
	maxAccounts = 1024
	// judgeInterval is how long a judgement of whether an account is above its share holds.
	judgeInterval = 50 * time.Millisecond
)

// accounts tells which client accounts use far more than usual. An account that is large all the
// time is served as others are: an equal share for all would refuse it whenever capacity is short.
// The zero value is ready to use.
type accounts struct {
	byName map[string]*use
	total  use
	count  decayingSum // requests in the recent total
}

// use is the work of one account, in seconds.
type use struct {
	recent, usual decayingSum
	judgedAt      time.Time
	isOver        bool // at judgedAt
}

func (u *use) add(now time.Time, seconds float64) {
	u.recent.add(now, recentHalfLife, seconds)
	u.usual.add(now, usualHalfLife, seconds)
}

// charge adds requests with their work to the use of an account. Without a request, the work corrects
// an estimate, and may be negative.
func (a *accounts) charge(now time.Time, name string, requests int, work time.Duration) {
	if name == "" {
		return
	}
	u := a.byName[name]
	if u == nil {
		if len(a.byName) >= maxAccounts {
			a.forget(now)
		}
		if a.byName == nil {
			a.byName = make(map[string]*use)
		}
		u = &use{}
		a.byName[name] = u
	}
	u.add(now, work.Seconds())
	a.total.add(now, work.Seconds())
	a.count.add(now, recentHalfLife, float64(requests))
}

// forget removes the accounts whose usual use is below the mean.
func (a *accounts) forget(now time.Time) {
	mean := a.total.usual.at(now, usualHalfLife) / float64(len(a.byName))
	maps.DeleteFunc(a.byName, func(_ string, u *use) bool { return u.usual.at(now, usualHalfLife) <= mean })
}

// isOverShare reports whether an account has recently used far more than its usual part.
func (a *accounts) isOverShare(now time.Time, name string) bool {
	u := a.byName[name]
	if u == nil || len(a.byName) < 2 {
		return false
	}
	if u.judgedAt.IsZero() || now.Sub(u.judgedAt) >= judgeInterval {
		u.judgedAt, u.isOver = now, a.judge(now, u)
	}
	return u.isOver
}

func (a *accounts) judge(now time.Time, u *use) bool {
	total, count := a.total.recent.at(now, recentHalfLife), a.count.at(now, recentHalfLife)
	usual := a.total.usual.at(now, usualHalfLife)
	if total <= 0 || usual <= 0 || count <= 0 {
		return false
	}
	n := float64(len(a.byName))
	share := (u.usual.at(now, usualHalfLife)/usual + newcomerShare/n) / (1 + newcomerShare)
	return u.recent.at(now, recentHalfLife) > shareFactor*share*total+shareSlack*total/count
}
