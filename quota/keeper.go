package quota

import (
	"slices"
	"time"
)

const (
	// SharePromise is how long a node without demand promises to leave its own share unused. Such
	// nodes are asked once in that time.
	SharePromise = 2 * time.Second
	// askAgainBefore is how long before the end of a promise the node is asked for another.
	askAgainBefore = 500 * time.Millisecond
	// majorityTime is how long a keeper may be without an answer from a majority of the nodes.
	majorityTime = 2 * time.Second
	// activeTime is how long after an ask an account counts as in use.
	activeTime = 3 * time.Second
	// minRetryAfter bounds how often nodes ask that were given nothing.
	minRetryAfter = 20 * time.Millisecond
	// maxTurns is how long nodes wait for their turns when too little is available. Callers with a
	// deadline of a few seconds do not come back later than that.
	maxTurns = time.Second
	// gatherTime is how long the answers of a majority may take when an account comes into use again.
	gatherTime = 400 * time.Millisecond
	// maxTurnDelay is how much later a request may come back so that its node gets more than it needs.
	maxTurnDelay = 50 * time.Millisecond
	// waitingRetry is when nodes ask again after a keeper granted nothing.
	waitingRetry = 500 * time.Millisecond
)

// Keeper grants leases on the quota of one account.
type Keeper struct {
	rule       Rule
	term       string
	limit      Limit
	self       string
	nodes      []string // live nodes, with self
	grantsFrom time.Time
	lastAskAt  time.Time
	// activeSince is when the account came into use again. Until gatherTo the nodes are asked who is
	// there.
	activeSince time.Time
	gatherTo    time.Time

	// worst is the bucket if all reserved own shares are used, and best if none is. Grants come
	// out of worst.
	worst, best bucket
	contacts    map[string]*contact
	promises    map[string]promise
	askers      map[string]time.Time
}

// NewKeeper returns a keeper with a level in its bucket, which grants nothing before grantsFrom. The
// term must be unique among all keepers.
func NewKeeper(r Rule, term, self string, l Limit, level float64, now, grantsFrom time.Time) *Keeper {
	k := &Keeper{
		rule: r, term: term, self: self, limit: l,
		contacts: make(map[string]*contact), promises: make(map[string]promise), askers: make(map[string]time.Time),
	}
	k.GrantFrom(now, grantsFrom, level)
	return k
}

// SetNodes sets the live nodes. A node that is new counts as just heard from.
func (k *Keeper) SetNodes(now time.Time, names []string) {
	if slices.Equal(names, k.nodes) {
		return
	}
	k.advance(now)
	k.nodes = slices.Clone(names)
	for _, name := range names {
		k.contact(name, now)
	}
	for name, c := range k.contacts {
		if !slices.Contains(names, name) && !c.usesOwnShare && now.Sub(c.heardAt) > activeTime {
			delete(k.contacts, name)
		}
	}
}

// SetLimit sets the limit. A lower one clips the bucket at once.
func (k *Keeper) SetLimit(now time.Time, l Limit) {
	if l == k.limit {
		return
	}
	k.advance(now)
	k.limit = l
	k.worst.level = min(k.worst.level, l.capacity())
	k.best.level = min(k.best.level, l.capacity())
}

func (k *Keeper) contact(name string, now time.Time) *contact {
	c := k.contacts[name]
	if c == nil {
		c = &contact{heardAt: now}
		k.contacts[name] = c
	}
	return c
}

// advance fills the buckets and reserves the own shares of silent nodes.
func (k *Keeper) advance(now time.Time) {
	k.best.advance(now, k.limit)
	k.worst.fill(now, k.limit)
	if !k.rule.IsSmall(k.limit) && !now.Before(k.grantsFrom) {
		k.worst.level -= k.reserve(now)
	}
	k.worst.clip(k.limit)
}

// reserve reserves the own shares of silent nodes up to now, and returns the sum of what it added.
func (k *Keeper) reserve(now time.Time) (sum float64) {
	share := k.limit.share(len(k.nodes)).PerSecond
	contactTime := k.rule.ContactTime(k.limit)
	for name, c := range k.contacts {
		if name == k.self && !c.usesOwnShare || !c.mustReserve(now, contactTime) {
			continue
		}
		since := c.silentSince()
		if since.Before(k.grantsFrom) {
			since = k.grantsFrom
		}
		if since.Before(k.activeSince) {
			since = k.activeSince
		}
		if d := now.Sub(since); d > 0 {
			c.reserved += share * d.Seconds()
			sum += share * d.Seconds()
			c.reservedTo = now
		}
	}
	return sum
}

// hear records that a node asked or answered, and gives back what was reserved for it beyond what it
// has used.
func (k *Keeper) hear(name string, now time.Time, ownUsed float64, usesOwnShare bool) {
	c := k.contact(name, now)
	k.worst.level = min(k.best.level, k.worst.level+c.reserved)
	if !now.Before(k.grantsFrom) {
		k.worst.level -= ownUsed
		k.best.level -= ownUsed
	}
	c.reserved, c.reservedTo = 0, now
	c.heardAt, c.usesOwnShare = now, usesOwnShare
}

// Promised records the answer of a node that was asked to leave its own share unused, if it
// answered that it does so until the given time.
func (k *Keeper) Promised(now time.Time, name string, until time.Time) {
	k.advance(now)
	k.hear(name, now, 0, false)
	k.contacts[name].promisedTo = until
}

// Declined records the answer of a node that may be using its own share.
func (k *Keeper) Declined(now time.Time, name string) {
	k.advance(now)
	k.contact(name, now).usesOwnShare = true
}

// Present records that a node takes this one for the keeper.
func (k *Keeper) Present(now time.Time, name string) {
	k.advance(now)
	k.contact(name, now).heardAt = now
}

// Silent returns the nodes that should be asked to leave their own shares unused, since what is
// reserved for them might be needed or the keeper has not heard from enough nodes.
func (k *Keeper) Silent(now time.Time) (names []string) {
	if k.rule.IsSmall(k.limit) || now.Sub(k.lastAskAt) > activeTime {
		return nil
	}
	k.advance(now)
	k.checkMajority(now)
	// The nodes are asked while they still count for the majority.
	heardFor := min(k.rule.ContactTime(k.limit), majorityTime-askAgainBefore)
	heard := 0
	for _, name := range k.nodes {
		c := k.contacts[name]
		switch {
		case name == k.self, now.Sub(c.heardAt) < heardFor, now.Add(askAgainBefore).Before(c.promisedTo):
			heard++
		default:
			names = append(names, name)
		}
	}
	if k.IsGranting(now) && k.worst.level > k.limit.capacity()/2 && heard*3 > len(k.nodes)*2 {
		return nil
	}
	return names
}

// HasMajority reports whether more than half of the live nodes were heard from lately, the
// keeper included.
func (k *Keeper) HasMajority(now time.Time) bool {
	heard := 0
	for _, name := range k.nodes {
		if name == k.self || now.Sub(k.contacts[name].heardAt) <= majorityTime {
			heard++
		}
	}
	return heard*2 > len(k.nodes)
}

// checkMajority reports whether the keeper may grant as far as the nodes know. After it had no
// majority, another keeper may have had one, so that it grants nothing for the time of that one's leases.
func (k *Keeper) checkMajority(now time.Time) bool {
	switch {
	case k.HasMajority(now):
		return true
	case now.Before(k.gatherTo):
		return false
	}
	if from := now.Add(majorityTime + k.rule.LeaseTime(k.limit)); from.Sub(k.grantsFrom) > askAgainBefore {
		k.GrantFrom(now, from, 0)
	}
	return false
}

// activate begins a time in which the account is in use. What the nodes did before is not known.
func (k *Keeper) activate(now time.Time) {
	k.activeSince, k.gatherTo = now, now.Add(gatherTime)
	for _, c := range k.contacts {
		c.heardAt = time.Time{}
	}
}

// Yield returns what the keeper could grant, for the keeper after it. ok is false if it grants nothing,
// also since it knows of no majority: another node may be the keeper then.
func (k *Keeper) Yield(now time.Time) (level float64, ok bool) {
	if !k.IsGranting(now) || !k.rule.IsSmall(k.limit) && !k.checkMajority(now) {
		return 0, false
	}
	k.advance(now)
	return k.worst.level, true
}

// IsGranting reports whether the keeper grants leases.
func (k *Keeper) IsGranting(now time.Time) bool { return !now.Before(k.grantsFrom) }

// GrantFrom lets the keeper grant leases from a time, with a level in its bucket.
func (k *Keeper) GrantFrom(now, from time.Time, level float64) {
	if from.Before(now) {
		from = now
	}
	k.grantsFrom = from
	k.worst = bucket{min(level, k.limit.capacity()), from}
	k.best = k.worst
	for _, c := range k.contacts {
		c.reserved = 0
	}
}

// Ask decides on an ask of a node.
func (k *Keeper) Ask(now time.Time, node string, a AskFor) Answer {
	if !k.lastAskAt.IsZero() && now.Sub(k.lastAskAt) > activeTime {
		k.activate(now)
	}
	k.lastAskAt = now
	k.advance(now)
	k.hear(node, now, a.OwnUsed, a.UsesOwnShare)
	if a.Term == k.term {
		k.add(a.Returned)
	}
	answer := Answer{Term: k.term, Valid: k.rule.LeaseTime(k.limit)}
	if wait := k.grantsFrom.Sub(now); wait > 0 {
		answer.IsWaiting, answer.RetryAfter = true, min(wait, waitingRetry)
		return answer
	}
	if !k.rule.IsSmall(k.limit) && !k.checkMajority(now) {
		answer.IsWaiting, answer.RetryAfter = true, waitingRetry
		if now.Before(k.gatherTo) {
			answer.RetryAfter = gatherTime / 4
		}
		return answer
	}
	k.askers[node] = now
	if p, ok := k.promises[node]; ok && (now.Sub(p.due) > promiseGrace || !now.Before(p.due) && a.Needed > p.amount) {
		delete(k.promises, node) // what is beyond the promise would be taken from later ones
	}
	available := k.available(now, node)
	own, hasOwn := k.promises[node]
	isDue := hasOwn && !now.Before(own.due)
	if isDue {
		delete(k.promises, node)
	}
	if available >= min(a.Needed, k.limit.capacity()) && available > 0 {
		promised := 0.0
		if isDue {
			promised = own.amount - a.Needed
		}
		answer.Amount = a.Needed + k.extra(a.Extra, available-a.Needed, promised)
		k.add(-answer.Amount)
		return answer
	}
	if a.Needed <= 0 {
		return answer
	}
	if hasOwn && !isDue {
		answer.RetryAfter, answer.RefuseFrom = max(minRetryAfter, own.due.Sub(now)), max(0, available)
		return answer
	}
	answer.RetryAfter = k.promise(now, node, a, available)
	answer.RefuseFrom = max(0, available)
	return answer
}

func (k *Keeper) add(amount float64) {
	c := k.limit.capacity()
	k.best.level = min(c, k.best.level+amount)
	k.worst.level = min(k.best.level, k.worst.level+amount)
}

// extra returns what a node gets ahead of its demand. Half of the bucket is left for others, unless
// that is less than a fair part or than what was promised to the node.
func (k *Keeper) extra(wanted, left, promised float64) float64 {
	return max(0, min(wanted, left, max(left/2, k.quantum(), promised)))
}

// quantum is the fair part of a node when too little is available: what the quota brings until all
// nodes that ask have had their turn, divided by their number.
func (k *Keeper) quantum() float64 {
	turns := min(maxTurns, k.rule.LeaseTime(k.limit))
	return k.limit.PerSecond * turns.Seconds() / float64(max(1, len(k.askers)))
}

// available returns what may be granted to a node: what is not promised to others. A node that comes
// back when it was told goes before the nodes whose promises are due later.
func (k *Keeper) available(now time.Time, node string) float64 {
	for name, at := range k.askers {
		if now.Sub(at) > 2*k.rule.LeaseTime(k.limit) {
			delete(k.askers, name)
		}
	}
	own, hasOwn := k.promises[node]
	isDue := hasOwn && !now.Before(own.due)
	left := k.worst.level
	for name, p := range k.promises {
		switch {
		case name == node && isDue:
		case now.Sub(p.due) > promiseGrace:
			delete(k.promises, name)
		case !isDue || p.due.Before(own.due):
			left -= p.amount
		}
	}
	return left
}

// promise keeps the next free part of the bucket for a node, and returns when it is available.
func (k *Keeper) promise(now time.Time, node string, a AskFor, available float64) time.Duration {
	amount := max(a.Needed, min(a.Needed+a.Extra, k.quantum(), a.Needed+k.limit.PerSecond*maxTurnDelay.Seconds()))
	missing := min(amount, k.limit.capacity()) - available
	wait := time.Duration(missing / max(k.netRate(now), k.limit.PerSecond/4) * float64(time.Second))
	wait = max(wait+time.Microsecond, minRetryAfter) // rounded up
	k.promises[node] = promise{amount, now.Add(wait)}
	return wait
}

// netRate returns the rate at which the bucket fills beside the own shares of silent nodes. Those that
// were heard from have been told to end the use of their own shares.
func (k *Keeper) netRate(now time.Time) float64 {
	rate := k.limit.PerSecond
	if k.rule.IsSmall(k.limit) {
		return rate
	}
	share := k.limit.share(len(k.nodes)).PerSecond
	for name, c := range k.contacts {
		if name != k.self && now.Sub(c.heardAt) > k.rule.ContactTime(k.limit) && c.mustReserve(now, k.rule.ContactTime(k.limit)) {
			rate -= share
		}
	}
	return rate
}
