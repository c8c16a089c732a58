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
	shareFactor = 1.5
	shareSlack  = 3
	// newcomerShare is what each account is taken to use usually, as a part of the mean, so that
	// one that is new or seldom sends has a share.
	newcomerShare = 0.25
	// usualGrowth bounds by how much work above the usual part raises it, so that it follows a lasting
	// change slowly, and a burst hardly, also soon after the place has begun to count.
	usualGrowth = 1.25
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
	recent decayingSum // of all accounts
	usual  decayingSum // of all accounts
	count  decayingSum // requests in the recent total
}

// use is the work of one account, in seconds.
type use struct {
	recent, usual decayingSum
	judgedAt      time.Time
	isOver        bool // at judgedAt
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
	seconds := work.Seconds()
	u.recent.add(now, recentHalfLife, seconds)
	a.recent.add(now, recentHalfLife, seconds)
	a.count.add(now, recentHalfLife, float64(requests))
	if share, recent := a.shares(now, u); recent > usualGrowth*share {
		seconds *= usualGrowth * share / recent
	}
	u.usual.add(now, usualHalfLife, seconds)
	a.usual.add(now, usualHalfLife, seconds)
}

// shares returns the parts of an account in the usual and in the recent work of all.
func (a *accounts) shares(now time.Time, u *use) (usual, recent float64) {
	totalUsual, totalRecent := a.usual.at(now, usualHalfLife), a.recent.at(now, recentHalfLife)
	if totalUsual <= 0 || totalRecent <= 0 {
		return 0, 0
	}
	usual = u.usual.at(now, usualHalfLife) / totalUsual
	usual = (usual + newcomerShare/float64(len(a.byName))) / (1 + newcomerShare)
	return usual, u.recent.at(now, recentHalfLife) / totalRecent
}

// forget removes the accounts whose usual use is below the mean.
func (a *accounts) forget(now time.Time) {
	mean := a.usual.at(now, usualHalfLife) / float64(len(a.byName))
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
	count := a.count.at(now, recentHalfLife)
	if count <= 0 {
		return false
	}
	usual, recent := a.shares(now, u)
	return recent > shareFactor*usual+shareSlack/count
}
