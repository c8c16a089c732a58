package node

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/quota"
)

// keeperAnswerTime is how long requests wait for the keeper of an account while it answers heartbeats. A keeper with too
// little processor time takes longer than ProbeTimeout.
const keeperAnswerTime = time.Second

// accountLease is what this node may spend of the quota of one account. At most one ask is in
// flight, which other requests wait for.
type accountLease struct {
	n       *Node
	account string

	mu     sync.Mutex
	lease  *quota.Lease
	limit  quota.Limit
	asking chan struct{} // closed when the ask in flight has ended; nil if there is none
}

// take decides on a request, and asks the keeper if necessary.
func (l *accountLease) take(ctx context.Context, limit quota.Limit, cost float64) quota.Decision {
	timeout := time.NewTimer(keeperAnswerTime)
	defer timeout.Stop()
	arrived := false
	for {
		d, asking := l.tryTake(limit, cost, &arrived)
		if d.Verdict != quota.Ask {
			return d
		}
		select {
		case <-asking:
		case <-timeout.C:
			return l.decideUnanswered(cost)
		case <-ctx.Done():
			return l.decideUnanswered(cost)
		}
	}
}

// tryTake decides on a request without waiting. If the verdict is to ask, it returns the channel
// that is closed when the ask in flight has ended.
func (l *accountLease) tryTake(limit quota.Limit, cost float64, arrived *bool) (quota.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.n.bootNow()
	l.limit = limit
	l.lease.SetLimit(limit, l.n.LiveNodes())
	if !*arrived {
		l.lease.Arrive(now, cost)
		*arrived = true
	}
	d := l.lease.Take(now, cost)
	switch {
	case d.Verdict == quota.Ask:
		l.beginAsk(now, cost)
		return d, l.asking
	case d.Verdict == quota.Granted && l.lease.ShouldRefresh(now):
		l.beginAsk(now, 0)
	}
	l.logLimited(d)
	return d, nil
}

// decideUnanswered decides on a request that has waited for the keeper for too long.
func (l *accountLease) decideUnanswered(cost float64) quota.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.lease.TakeOwnShare(l.n.bootNow(), cost)
	l.logLimited(d)
	return d
}

// logLimited logs when the account starts and stops being limited at this node. The caller holds
// l.mu.
func (l *accountLease) logLimited(d quota.Decision) {
	if !l.lease.SetLimited(d.Verdict == quota.Refused) {
		return
	}
	if d.Verdict == quota.Refused {
		l.n.log.Info("account has used up its quota; refusing requests", "account", l.account, "retry-ms", d.RetryAfter.Milliseconds(), "own-share", l.lease.UsesOwnShare())
		return
	}
	l.n.log.Info("account is within its quota again", "account", l.account)
}

// beginAsk asks the keeper, unless an ask is in flight. Without an answer in time the ask counts as unanswered, but
// what the keeper grants is still taken when the answer comes. The caller holds l.mu.
func (l *accountLease) beginAsk(now time.Time, cost float64) {
	if l.asking != nil {
		return
	}
	done := make(chan struct{})
	l.asking = done
	ask := l.lease.NewAsk(now, cost)
	limit, isOver := l.limit, false // l.mu guards isOver
	end := func(answer quota.Answer, err error) {
		mayUseShare := err != nil && l.n.quotas.mayUseOwnShare(limit)
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case isOver && err == nil:
			l.lease.AnsweredLate(now, l.n.bootNow(), ask, answer)
			l.n.log.Debug("late lease on a quota", "account", l.account, "amount", answer.Amount, "left", l.lease.Left())
			return
		case isOver:
			return
		case err != nil:
			l.lease.Unanswered(l.n.bootNow(), mayUseShare)
			l.n.log.Debug("cannot ask for a lease on a quota", "account", l.account, "own-share", mayUseShare, "err", err)
		default:
			l.lease.Answered(now, l.n.bootNow(), ask, answer)
			l.n.log.Debug("lease on a quota", "account", l.account, "needed", ask.Needed, "extra", ask.Extra, "amount", answer.Amount, "left", l.lease.Left(), "retry-ms", answer.RetryAfter.Milliseconds(), "waiting", answer.IsWaiting)
		}
		l.asking, isOver = nil, true
		close(done)
	}
	l.n.tasks.Go(func() {
		unanswered := func() {
			end(quota.Answer{}, &Error{Op: "take quota", Kind: Unreachable, Reason: "no answer in time"})
		}
		defer time.AfterFunc(keeperAnswerTime, unanswered).Stop()
		end(l.n.quotas.ask(l.n.ctx, l.account, ask, unanswered))
	})
}

func (l *accountLease) giveBack(s quota.Source, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.GiveBack(s, cost)
}

// hold promises to leave the own share unused, and reports whether it does.
func (l *accountLease) hold(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Hold(l.n.bootNow(), d)
}
