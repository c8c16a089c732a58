package quota

import "time"

// Verdict is what a node does with a request.
type Verdict int

// The verdicts.
const (
	Refused Verdict = iota // the quota is used up
	Granted                // it may be sent
	Ask                    // the keeper must be asked
)

// Decision is a verdict, with the time after which a refused request may come back, or with what
// the cost of a granted one was taken from.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
	Source     Source
}

// Source is what the cost of a request was taken from.
type Source struct {
	term  string
	isOwn bool
}

const (
	// refreshPart is the part of a lease time, and of the demand in it, at which the next lease is
	// asked for.
	refreshPart = 0.2
	// leaseReserve allows for demand above the recent one.
	leaseReserve = 1.25
	// ownShareAskInterval is the time between two asks of a keeper that does not answer, or that
	// grants nothing.
	ownShareAskInterval = 500 * time.Millisecond
	// keeperRetry is when a request comes back that was refused while no keeper grants leases. After
	// a restart of all nodes the last keeper does so 0.8 s after it has started, and callers
	// come back once only.
	keeperRetry   = time.Second
	maxRetryAfter = 10 * time.Second
)

// part is an amount that may be spent until it expires.
type part struct {
	left    float64
	expires time.Time
}

// Lease is what one node may spend of an account's quota.
type Lease struct {
	rule  Rule
	limit Limit
	nodes int

	demand   demand
	term     string // of the keeper that granted parts
	parts    []part // in the order of their expiry
	returned float64
	lastAsk  time.Time

	refuseFrom   float64 // until refuseUntil, a request that costs as much is refused
	refuseUntil  time.Time
	backlog      float64 // cost of the requests refused since then
	lastAmount   float64
	isScarce     bool // the last answer was less than asked for
	isLimited    bool
	heldTo       time.Time // until then the own share stays unused
	usesOwnShare bool
	hasNoKeeper  bool      // the last ask was not answered
	isWaiting    bool      // the keeper has answered that it grants nothing
	askAgainAt   time.Time // while the own share is used
	share        bucket    // of the own share
	ownUsed      float64
	ownAsked     float64 // the part of ownUsed in the ask that is not answered yet
}

// NewLease returns a lease without anything to spend.
func NewLease(r Rule) *Lease { return &Lease{rule: r} }

// SetLimit sets the limit and the number of live nodes. What was leased under another limit is
// returned.
func (l *Lease) SetLimit(limit Limit, nodes int) {
	l.nodes = nodes
	if limit == l.limit {
		return
	}
	for _, p := range l.parts {
		l.returned += p.left
	}
	l.limit, l.parts, l.refuseUntil = limit, nil, time.Time{}
}

// Arrive counts a request into the demand.
func (l *Lease) Arrive(now time.Time, cost float64) {
	l.demand.add(l.rule.LeaseTime(l.limit), now, cost)
}

// Take decides on a request.
func (l *Lease) Take(now time.Time, cost float64) Decision {
	l.expire(now)
	switch {
	case l.spend(cost):
		return Decision{Verdict: Granted, Source: Source{term: l.term}}
	case l.usesOwnShare && now.Before(l.askAgainAt):
		return l.TakeOwnShare(now, cost)
	case now.Before(l.refuseUntil) && cost >= l.refuseFrom:
		return l.refuse(cost, l.refuseUntil.Sub(now))
	}
	return Decision{Verdict: Ask}
}

// TakeOwnShare decides on a request that got no answer from the keeper.
func (l *Lease) TakeOwnShare(now time.Time, cost float64) Decision {
	if !l.usesOwnShare {
		return l.refuse(cost, max(minLeaseTime, l.refuseUntil.Sub(now))) // the node may not use it
	}
	share := l.limit.share(l.nodes)
	l.share.advance(now, share)
	needed := min(cost, share.capacity())
	missing := max(needed, cost-share.PerSecond*l.rule.Window.Seconds()) - l.share.level
	if missing > 0 {
		return l.refuse(cost, time.Duration(missing/share.PerSecond*float64(time.Second)))
	}
	l.share.level -= cost
	l.ownUsed += cost
	return Decision{Verdict: Granted, Source: Source{isOwn: true}}
}

// refuse refuses a request. Callers that were refused before come back first, so the wait grows with
// the cost of their requests.
func (l *Lease) refuse(cost float64, wait time.Duration) Decision {
	l.backlog += cost
	if rate := l.lastAmount / l.rule.LeaseTime(l.limit).Seconds(); rate > 0 && !l.usesOwnShare {
		wait += time.Duration(min((l.backlog-cost)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	switch {
	case l.usesOwnShare:
		wait = min(wait, keeperRetry)
	case l.hasNoKeeper:
		wait = max(wait, keeperRetry)
	}
	return Decision{Verdict: Refused, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// spend takes the cost from the parts that expire first.
func (l *Lease) spend(cost float64) bool {
	if l.Left() < cost {
		return false
	}
	for i := range l.parts {
		amount := min(cost, l.parts[i].left)
		l.parts[i].left -= amount
		cost -= amount
	}
	return true
}

// Left returns what may be spent without an ask.
func (l *Lease) Left() (sum float64) {
	for _, p := range l.parts {
		sum += p.left
	}
	return sum
}

// expire moves what has expired to what is returned.
func (l *Lease) expire(now time.Time) {
	kept := l.parts[:0]
	for _, p := range l.parts {
		switch {
		case !now.Before(p.expires):
			l.returned += p.left
		case p.left > 0:
			kept = append(kept, p)
		}
	}
	l.parts = kept
}

// ShouldRefresh reports whether the keeper should be asked ahead of demand.
func (l *Lease) ShouldRefresh(now time.Time) bool {
	l.expire(now)
	leaseTime := l.rule.LeaseTime(l.limit)
	if l.isScarce || l.usesOwnShare || len(l.parts) == 0 || now.Sub(l.lastAsk) < time.Duration(refreshPart*float64(leaseTime)) {
		return false
	}
	valid := 0.0 // what does not expire soon
	for _, p := range l.parts {
		if p.expires.Sub(now) > time.Duration(refreshPart*float64(leaseTime)) {
			valid += p.left
		}
	}
	return valid < l.demand.within(leaseTime, now)*refreshPart
}

// NewAsk returns an ask for a request, or ahead of demand with a cost of 0. It must be answered or
// reported as unanswered before the next one.
func (l *Lease) NewAsk(now time.Time, cost float64) AskFor {
	l.expire(now)
	// The request at hand says nothing of the next ones: nodes with rare requests ask for each.
	wanted := (l.demand.within(l.rule.LeaseTime(l.limit), now) - cost) * leaseReserve
	a := AskFor{
		Needed: cost, Extra: max(0, wanted-l.Left()), Returned: l.returned, Term: l.term,
		OwnUsed: l.ownUsed, UsesOwnShare: l.usesOwnShare,
	}
	l.lastAsk = now
	l.returned = 0 // the keeper may add it although its answer is lost
	l.ownAsked = l.ownUsed
	return a
}

// Answered takes the answer to an ask that was sent at the given time.
func (l *Lease) Answered(sent, now time.Time, ask AskFor, a Answer) {
	l.expire(now)
	l.ownUsed -= l.ownAsked
	l.ownAsked, l.hasNoKeeper = 0, false
	if a.Term != l.term {
		l.term, l.returned = a.Term, 0
	}
	if a.IsWaiting {
		l.useOwnShare(now, max(a.RetryAfter, minRetryAfter))
		l.isWaiting = true
		return
	}
	l.usesOwnShare = false
	l.take(sent, ask, a)
	if a.Amount <= 0 && a.RetryAfter > 0 {
		l.refuseFrom, l.refuseUntil = min(a.RefuseFrom, ask.Needed), now.Add(a.RetryAfter)
		l.backlog = 0
	}
}

// AnsweredLate takes the answer to an ask that was sent at the given time and has been reported as unanswered. The keeper
// has counted what it granted, so that it may be spent until it expires.
func (l *Lease) AnsweredLate(sent, now time.Time, ask AskFor, a Answer) {
	if l.term == "" {
		l.term = a.Term
	}
	if a.Term != l.term || a.Amount <= 0 {
		return
	}
	l.hasNoKeeper, l.usesOwnShare = false, false
	l.take(sent, ask, a)
	l.expire(now)
}

// take adds what the keeper has granted.
func (l *Lease) take(sent time.Time, ask AskFor, a Answer) {
	l.isScarce = a.Amount < ask.Needed+ask.Extra/2
	if a.Amount <= 0 {
		return
	}
	l.parts = append(l.parts, part{a.Amount, sent.Add(a.Valid)})
	l.lastAmount = a.Amount
	l.refuseUntil = time.Time{}
	l.backlog = max(0, l.backlog-a.Amount)
}

// Unanswered records that an ask got no answer, so that the own share is used if the node may do so.
func (l *Lease) Unanswered(now time.Time, mayUseShare bool) {
	l.ownAsked, l.hasNoKeeper = 0, true
	if mayUseShare && !now.Before(l.heldTo) {
		l.useOwnShare(now, ownShareAskInterval)
		return
	}
	l.usesOwnShare = false
	l.refuseFrom, l.refuseUntil = 0, now.Add(ownShareAskInterval)
	if l.heldTo.After(now) {
		l.refuseUntil = l.heldTo
	}
}

func (l *Lease) useOwnShare(now time.Time, askAgain time.Duration) {
	if !l.usesOwnShare {
		l.share = bucket{at: now}
	}
	l.usesOwnShare, l.isWaiting, l.askAgainAt = true, false, now.Add(askAgain)
}

// Hold promises a keeper that grants leases to leave the own share unused, and reports whether it does.
// It does not if its asks are not answered.
func (l *Lease) Hold(now time.Time, d time.Duration) bool {
	if l.usesOwnShare && !l.isWaiting {
		return false
	}
	l.usesOwnShare, l.heldTo = false, now.Add(d)
	return true
}

// GiveBack returns the cost of a request that has not run to what it was taken from.
func (l *Lease) GiveBack(s Source, cost float64) {
	switch {
	case s.isOwn:
		l.ownUsed = max(l.ownAsked, l.ownUsed-cost)
		l.share.level += cost
	case s.term == l.term:
		l.returned += cost
	}
}

// UsesOwnShare reports whether the node may use its own share.
func (l *Lease) UsesOwnShare() bool { return l.usesOwnShare }

// SetLimited records whether the account is limited, and reports whether that is a change. It ends
// being limited when a request is granted while nothing is scarce.
func (l *Lease) SetLimited(refused bool) (changed bool) {
	was := l.isLimited
	if refused {
		l.isLimited = true
	} else if !l.isScarce && !l.usesOwnShare {
		l.isLimited = false
	}
	return was != l.isLimited
}
