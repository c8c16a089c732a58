package node

import (
	"context"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// ReconcileOwnership takes over and hands over engines without waiting for the next
// poll. It is for settings that were installed from outside.
func (n *Node) ReconcileOwnership() {
	n.tasks.Go(func() { n.reconcileOwnership(n.ctx) })
}

// reconcileOwnership takes over the engines that this node should own, and hands over
// those that another live node should own. It returns true if a takeover failed because
// a row had changed since the sessions were read.
func (n *Node) reconcileOwnership(ctx context.Context) (changed bool) {
	if n.reconcileLock.Acquire(ctx, 1) != nil {
		return false
	}
	defer n.reconcileLock.Release(1)
	if !n.session.leaseValid(time.Now()) {
		return false
	}
	configured := make(map[string]bool)
	keepable := n.fairShare()
	owned := len(n.ownedEngines())
	for _, b := range n.store.Tree().Backends() {
		configured[b.Name] = true
		preferred := n.members.preferredOwner(b.Name, b.DataCenter)
		own := n.ownedEngine(b.Name)
		switch {
		case (preferred == n.cfg.Name || n.ownedByEarlierProcess(b.Name) || n.hasClaim(b.Name)) && own == nil && !n.session.isLeaving():
			if !n.hasOtherOwner(b.Name) {
				changed = n.takeOver(ctx, b) || changed
			}
		case preferred != n.cfg.Name && preferred != "" && own != nil && (owned > keepable || n.session.isLeaving()):
			owned--
			n.tasks.Go(func() { n.handOver(ctx, own) })
		}
	}
	for _, o := range n.ownedEngines() {
		if !configured[o.name] {
			n.tasks.Go(func() { n.handOver(ctx, o) })
		}
	}
	return changed
}

// stickyOwnership reports whether engines stay with their current owner up to its fair
// share. Where two VMs must not alternate as owners, a change of owner interrupts the
// loads of an engine, which costs more than an uneven spread.
func (n *Node) stickyOwnership() bool { return n.cfg.OwnerAlternationGap > 0 }

// fairShare returns the number of engines that this node may keep although another node
// is preferred as their owner.
func (n *Node) fairShare() int {
	if !n.stickyOwnership() {
		return 0
	}
	nodes := n.LiveNodes()
	return (len(n.store.Tree().Backends()) + nodes - 1) / nodes
}

// hasOtherOwner reports whether a live node is believed to own an engine. Every
// ownerCheckInterval it returns false, so that the ownership row is read.
func (n *Node) hasOtherOwner(name string) bool {
	if !n.stickyOwnership() {
		return false
	}
	n.mu.Lock()
	owner, checked := n.ownerHints[name], n.ownerChecks[name]
	n.mu.Unlock()
	m, ok := n.members.get(owner)
	if !ok || !m.live() || m.Leaving || owner == n.cfg.Name || time.Since(checked) > ownerCheckInterval {
		n.mu.Lock()
		n.ownerChecks[name] = time.Now()
		n.mu.Unlock()
		return false
	}
	return true
}

// ownedByEarlierProcess reports whether an engine's ownership row names this node,
// whose earlier process ended without releasing it. This node then takes it over even
// if another node is preferred, since it can do so without waiting for a lease to
// expire.
func (n *Node) ownedByEarlierProcess(name string) bool {
	if !n.stickyOwnership() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerHints[name] == n.cfg.Name
}

// ownerCheckInterval is the time between reads of the ownership row of an engine that
// another node is believed to own.
const ownerCheckInterval = 5 * time.Second

func (n *Node) ownedEngine(name string) *ownedEngine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[name]
}

func (n *Node) ownedEngines() []*ownedEngine {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*ownedEngine, 0, len(n.owned))
	for _, o := range n.owned {
		list = append(list, o)
	}
	return list
}

// takeOver makes this node the owner of an engine, unless another node may still
// believe that it is the owner. The old owner's session is fenced first; one transaction
// then writes the ownership row with a higher fencing token. It returns true if a row had
// changed since it was read.
func (n *Node) takeOver(ctx context.Context, b settings.BackendServer) (changed bool) {
	row, err := n.table.Get(ctx, table.OwnerPrefix+b.Name)
	if err != nil && !table.IsKind(err, table.NotFound) {
		n.log.Info("cannot read the ownership row; retrying with the next poll", "engine", b.Name, "err", err)
		return false
	}
	old := table.Owner{Engine: b.Name}
	if err == nil {
		if old, err = table.DecodeOwner(row); err != nil {
			n.log.Error("cannot decode an ownership row; not taking over the engine", "err", err)
			return false
		}
	}
	if n.hasCommandsInFlight(b.Name) {
		return false // they must not arrive after those under a later token
	}
	if m, ok := n.members.get(old.Node); ok && m.expired && !n.ownerSessionEnded(old) && n.members.fence(ctx, m) {
		return true
	}
	n.session.withRow(ctx, func(self table.Session, check table.Check) {
		if old.Generation != self.Generation {
			changed = n.takeOverFromCopy(ctx, b, old, self, check, row)
			return
		}
		n.dropClaim(b.Name)
		if old.Process == self.Process && old.Epoch == self.Epoch && old.Node == self.Node {
			// This session wrote the row in a commit that got no response. Writing it again
			// keeps other such commits from being applied later.
			var o *ownedEngine
			if o, changed = n.writeOwner(ctx, b, old, self, table.Tx{Checks: []table.Check{check}}, row); o != nil {
				o.delayCommands(n.cfg.OwnerAlternationGap)
			}
			return
		}
		tx, ok := n.checkOwnerSessionEnded(old)
		if !ok {
			n.setOwnerHint(b.Name, old.Node)
			n.log.Debug("engine has a live owner; not taking it over", "engine", b.Name, "owner", old.Node, "process", old.Process)
			return
		}
		tx.Checks = append(tx.Checks, check)
		var o *ownedEngine
		if o, changed = n.writeOwner(ctx, b, old, self, tx, row); o != nil && old.LastNode != self.Node {
			o.delayCommands(n.commandDelayAfter(old))
		}
	})
	return changed
}

// takeOverFromCopy takes over an engine whose ownership row is of an earlier generation of
// the table, or missing. It tells nothing about the last owner.
func (n *Node) takeOverFromCopy(ctx context.Context, b settings.BackendServer, old table.Owner, self table.Session, check table.Check, row table.Row) (changed bool) {
	claimed, ok := n.mayTakeOverFromCopy(b.Name)
	if !ok {
		n.log.Debug("the ownership row is of before the restore; not taking the engine over yet", "engine", b.Name, "owner", old.Node)
		return false
	}
	o, changed := n.writeOwner(ctx, b, old, self, table.Tx{Checks: []table.Check{check}}, row)
	if o != nil && !claimed {
		o.delayCommands(n.ownerAlternationDelay())
	}
	return changed
}

// writeOwner writes this node into the ownership row that was read, if the checks of the
// transaction hold, and starts the ownership.
func (n *Node) writeOwner(ctx context.Context, b settings.BackendServer, old table.Owner, self table.Session, tx table.Tx, row table.Row) (o *ownedEngine, changed bool) {
	next := newOwnerRow(old, self, b.ChecksFencing || b.UnloadWaitsForRequests)
	tx.Checks = append(tx.Checks, table.Check{Key: next.Key(), Version: row.Version, Generation: row.Generation})
	tx.Puts = append(tx.Puts, table.Put{Key: next.Key(), Value: next.Encode()})
	ver, err := n.table.Commit(ctx, tx)
	if err != nil {
		n.log.Info("engine takeover failed; retrying with the next poll", "engine", b.Name, "from", old.Node, "err", err)
		return nil, table.IsKind(err, table.Conflict) // the next read shows whether the commit was applied
	}
	n.log.Info("took over the engine", "engine", b.Name, "token", next.FencingToken, "from", old.Node, "former-row-version", row.Version, "row-version", ver)
	n.dropClaim(b.Name)
	return n.startOwnership(b, next, ver), false
}

// commandDelayAfter returns how long a new owner sends no commands. Two VMs must not
// alternate as owners within OwnerAlternationGap. After a single change of owner,
// fencing tokens tell the commands of the two apart. A delay is therefore needed only
// if the former owner had taken over the engine shortly before.
func (n *Node) commandDelayAfter(old table.Owner) time.Duration {
	if old.Node == "" {
		return time.Duration(old.HandoverDelayMS) * time.Millisecond
	}
	return n.ownerAlternationDelay()
}

// ownerAlternationDelay is the delay after an owner whose lease has ended: it took over the
// engine at least LeaseTTL less LeaseMargin ago.
func (n *Node) ownerAlternationDelay() time.Duration {
	return max(0, n.cfg.OwnerAlternationGap+n.cfg.LeaseMargin-n.cfg.LeaseTTL)
}

// newOwnerRow returns the ownership row of a new owner. A former owner that did not
// release the engine may still send commands, so it is listed as a former owner, unless
// the engine itself rejects its commands.
func newOwnerRow(old table.Owner, self table.Session, engineArbitrates bool) table.Owner {
	next := old
	next.Node, next.Process, next.Epoch, next.Address = self.Node, self.Process, self.Epoch, self.Address
	next.FencingToken, next.Generation = old.NextFencingToken(self.Generation), self.Generation
	next.LastNode, next.HandoverDelayMS = self.Node, 0
	if engineArbitrates {
		next.FormerOwners = nil
		return next
	}
	if old.Node != "" {
		next = next.WithoutFormerOwner(old.Process)
		next.FormerOwners = append(next.FormerOwners, table.FormerOwner{Node: old.Node, Process: old.Process, Address: old.Address, FencingToken: old.FencingToken})
	}
	return next
}

// checkOwnerSessionEnded returns a transaction that requires that the owner's session has
// ended, or false while the owner's lease may still be valid.
func (n *Node) checkOwnerSessionEnded(old table.Owner) (table.Tx, bool) {
	if old.Node == "" {
		return table.Tx{}, true // the engine was released
	}
	if old.Node == n.cfg.Name {
		// An earlier process or epoch of this node: the check of this session's row
		// covers it.
		return table.Tx{}, true
	}
	m, ok := n.members.get(old.Node)
	if !ok {
		// Only rows of sessions that have ended are removed.
		key := table.Session{Node: old.Node}.Key()
		return table.Tx{Checks: []table.Check{{Key: key}}}, true
	}
	return table.Tx{Checks: []table.Check{{Key: m.Key(), Version: m.version, Generation: m.readIn}}}, n.ownerSessionEnded(old)
}

// ownerSessionEnded reports whether the owner's lease is known to have ended: it
// released the engine, or its node has registered another session since, or its session
// was fenced.
func (n *Node) ownerSessionEnded(old table.Owner) bool {
	if old.Node == "" || old.Node == n.cfg.Name {
		return true
	}
	m, ok := n.members.get(old.Node)
	return ok && (m.Process != old.Process || m.Epoch != old.Epoch || m.Fenced)
}

func (n *Node) startOwnership(b settings.BackendServer, row table.Owner, ver int64) *ownedEngine {
	o := newOwnedEngine(n, b, row, ver)
	n.mu.Lock()
	n.owned[b.Name] = o
	n.ownerHints[b.Name] = n.cfg.Name
	n.mu.Unlock()
	n.tasks.Go(func() { o.recoverOwnership(n.ctx) })
	return o
}

// handOver stops grants, waits for commands in flight and releases the engine. Running
// streams continue; the new owner learns of them from their entry nodes.
func (n *Node) handOver(ctx context.Context, o *ownedEngine) {
	if !o.beginHandover() {
		return
	}
	if !o.awaitCommands(ctx) {
		o.abortHandover()
		return
	}
	switch o.releaseRow(ctx) {
	case rowUnchanged:
		o.abortHandover()
	case rowWritten:
		n.endReleased(ctx, o)
	case rowLost:
		n.endOwnership(o)
	case rowUnknown:
		// The write may be applied later, and then another node takes the engine over at once.
		n.log.Warn("the release of an engine got no response; ending the ownership and releasing it again", "engine", o.name)
		n.endOwnership(o)
		n.tasks.Go(func() { n.releaseAgain(o) })
	}
}

// endReleased ends the ownership of an engine whose row names no owner any more.
func (n *Node) endReleased(ctx context.Context, o *ownedEngine) {
	n.log.Info("released the engine", "engine", o.name)
	n.endOwnership(o)
	if b, ok := n.store.Tree().Backend(o.name); ok { // otherwise nobody should own it
		n.members.announceRelease(ctx, b)
	}
}

// releaseAgain writes that an engine has no owner until the row is known to have changed.
func (n *Node) releaseAgain(o *ownedEngine) {
	for n.ctx.Err() == nil {
		sleep(n.ctx, recoveryRetryPause)
		switch o.releaseRow(n.ctx) {
		case rowWritten:
			n.endReleased(n.ctx, o)
			return
		case rowLost:
			return
		}
	}
}

// takeOverReleased takes over an engine that its owner has released, if it is
// configured here, without waiting for the next poll.
func (n *Node) takeOverReleased(name string) {
	b, ok := n.store.Tree().Backend(name)
	if !ok || n.session.isLeaving() || n.ownedEngine(name) != nil {
		return
	}
	n.tasks.Go(func() {
		if n.reconcileLock.Acquire(n.ctx, 1) != nil {
			return
		}
		defer n.reconcileLock.Release(1)
		if n.ownedEngine(name) == nil {
			n.takeOver(n.ctx, *b)
		}
	})
}

func (n *Node) handOverAll(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, o := range n.ownedEngines() {
			n.handOver(ctx, o)
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// endOwnership ends the node's ownership of an engine. The engine stays in
// formerlyOwned while its commands may be in flight.
func (n *Node) endOwnership(o *ownedEngine) {
	o.stop()
	n.clearOwnerHint(o.name, n.cfg.Name)
	n.formerOwnerships(o.name) // forgets those that are over
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owned[o.name] == o {
		delete(n.owned, o.name)
		n.formerlyOwned[o.name] = append(n.formerlyOwned[o.name], o)
	}
}

// endAllOwnership ends the ownership of every engine after the session was fenced.
func (n *Node) endAllOwnership() {
	for _, o := range n.ownedEngines() {
		n.endOwnership(o)
	}
}

// undisputedEngines returns the names of the engines that this node owns and is not
// releasing.
func (n *Node) undisputedEngines() (names []string) {
	for _, o := range n.ownedEngines() {
		if !o.isEnding() {
			names = append(names, o.name)
		}
	}
	return names
}

// hasYielded reports whether this process can send no more commands with a fencing
// token below the given one.
func (n *Node) hasYielded(engineName string, token int64) bool {
	if o := n.ownedEngine(engineName); o != nil && o.token < token {
		n.endOwnership(o) // a later owner exists, so this session was fenced
	}
	return len(n.formerOwnerships(engineName)) == 0
}

// formerOwnerships returns the former ownerships of an engine whose commands may still be
// executed, and forgets the others.
func (n *Node) formerOwnerships(engineName string) []*ownedEngine {
	n.mu.Lock()
	former := slices.Clone(n.formerlyOwned[engineName])
	n.mu.Unlock()
	ended := make(map[*ownedEngine]bool)
	for _, o := range former { // without n.mu, which is locked under o.mu elsewhere
		ended[o] = o.isOver()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	left := slices.DeleteFunc(n.formerlyOwned[engineName], func(o *ownedEngine) bool { return ended[o] })
	if len(left) == 0 {
		delete(n.formerlyOwned, engineName)
		return nil
	}
	n.formerlyOwned[engineName] = left
	return slices.Clone(left)
}

func (n *Node) setOwnerHint(engineName, owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerHints[engineName] = owner
}

// tickEngines runs the schedulers of all owned engines.
func (n *Node) tickEngines(ctx context.Context) {
	now := time.Now()
	for _, o := range n.ownedEngines() {
		o.tick(ctx, now)
	}
}

// readFencingTokens reads the current fencing token of every engine. A takeover before
// this node registered its session did not fence its grants; every later one does.
func (n *Node) readFencingTokens(ctx context.Context) {
	rows, err := n.table.Scan(ctx, table.OwnerPrefix)
	if err != nil {
		return // retried with the next renewal
	}
	for _, row := range rows {
		o, err := table.DecodeOwner(row)
		if err != nil {
			n.log.Error("cannot decode an ownership row; not admitting until it can be read", "err", err)
			return
		}
		n.registry.Fence(o.Engine, o.FencingToken)
		if o.Node != "" && o.Generation == n.generations.Current() {
			n.setOwnerHint(o.Engine, o.Node)
		}
	}
	n.tokensKnown.Store(true)
}
