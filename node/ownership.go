package node

import (
	"context"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// ReconcileOwnership takes the engines that this node should own without waiting for the
// next poll. It is for settings that were pushed.
func (n *Node) ReconcileOwnership() {
	n.tasks.Go(func() { n.settleOwnership(n.ctx) })
}

// settleOwnership takes the engines that this node should own and hands over
// those that another live node should own. It reports whether a taking met a row
// that has changed since the sessions were read.
func (n *Node) settleOwnership(ctx context.Context) (changed bool) {
	if n.settling.Acquire(ctx, 1) != nil {
		return false
	}
	defer n.settling.Release(1)
	if !n.session.valid(time.Now()) {
		return false
	}
	present := make(map[string]bool)
	fair := n.fairShare()
	owned := len(n.ownedEngines())
	for _, b := range n.store.Tree().Backends() {
		present[b.Name] = true
		wanted := n.members.wantedOwner(b.Name, b.DataCenter)
		mine := n.ownedEngine(b.Name)
		switch {
		case (wanted == n.cfg.Name || n.ownedBefore(b.Name)) && mine == nil && !n.session.isLeaving():
			if !n.ownedElsewhere(b.Name) {
				changed = n.takeEngine(ctx, b) || changed
			}
		case wanted != n.cfg.Name && wanted != "" && mine != nil && (owned > fair || n.session.isLeaving()):
			owned--
			n.tasks.Go(func() { n.handOver(ctx, mine) })
		}
	}
	for _, o := range n.ownedEngines() {
		if !present[o.name] {
			n.tasks.Go(func() { n.handOver(ctx, o) })
		}
	}
	return changed
}

// keepsOwners reports whether engines stay with their owner where that is fair:
// where holders must not take turns, a change of owner interrupts the loads of an
// engine, which the evenness is not worth.
func (n *Node) keepsOwners() bool { return n.cfg.OwnerAlternationGap > 0 }

// fairShare returns how many engines this node may keep although another should
// own them.
func (n *Node) fairShare() int {
	if !n.keepsOwners() {
		return 0
	}
	nodes := n.LiveNodes()
	return (len(n.store.Tree().Backends()) + nodes - 1) / nodes
}

// ownedElsewhere reports whether a live node is believed to own an engine. The
// belief is checked now and then.
func (n *Node) ownedElsewhere(name string) bool {
	if !n.keepsOwners() {
		return false
	}
	n.mu.Lock()
	owner, checked := n.hints[name], n.checked[name]
	n.mu.Unlock()
	m, ok := n.members.get(owner)
	if !ok || !m.live() || m.Leaving || owner == n.cfg.Name || time.Since(checked) > ownerCheckEvery {
		n.mu.Lock()
		n.checked[name] = time.Now()
		n.mu.Unlock()
		return false
	}
	return true
}

// ownedBefore reports whether an engine's ownership row names this node, whose
// earlier process ended without a release. It takes the engine up again even if
// another should own it, since it can do so at once.
func (n *Node) ownedBefore(name string) bool {
	if !n.keepsOwners() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hints[name] == n.cfg.Name
}

// ownerCheckEvery is how often the ownership row of an engine that another node
// keeps is read.
const ownerCheckEvery = 5 * time.Second

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

// takeEngine makes this node the owner of an engine if nobody else can still
// believe to own it. One transaction fences the old session and writes the
// ownership row with a higher fencing token. It reports whether a row has changed
// since it was read.
func (n *Node) takeEngine(ctx context.Context, b settings.BackendServer) (changed bool) {
	row, err := n.table.Get(ctx, table.OwnerPrefix+b.Name)
	if err != nil && !table.IsKind(err, table.NotFound) {
		n.log.Info("owner not read", "engine", b.Name, "err", err)
		return false
	}
	old := table.Owner{Engine: b.Name}
	if err == nil {
		if old, err = table.DecodeOwner(row); err != nil {
			n.log.Error("ownership row cannot be read", "err", err)
			return false
		}
	}
	n.session.with(ctx, func(me table.Session, check table.Check) {
		if old.Process == me.Process && old.Epoch == me.Epoch && old.Node == me.Node {
			n.adopt(b, old, row.Version).quietFor(n.cfg.OwnerAlternationGap) // our own write, whose answer was lost
			return
		}
		tx, ok := n.fenceHolder(old)
		if !ok {
			n.hint(b.Name, old.Node)
			n.log.Debug("engine has an owner", "engine", b.Name, "owner", old.Node, "process", old.Process)
			return
		}
		if !n.endedSession(old) && !n.consents.beginTaking(old.Process, time.Now()) {
			return // it lost the table, but is alive
		}
		next := takeover(old, me, b.ChecksFencing || b.UnloadWaits)
		tx.Checks = append(tx.Checks, check, table.Check{Key: next.Key(), Version: row.Version})
		tx.Puts = append(tx.Puts, table.Put{Key: next.Key(), Value: next.Encode()})
		ver, err := n.table.Commit(ctx, tx)
		if table.IsKind(err, table.Conflict) || table.IsKind(err, table.Unavailable) {
			n.consents.abandonTaking(old.Process)
		}
		changed = table.IsKind(err, table.Conflict)
		if err != nil {
			n.log.Info("engine not taken", "engine", b.Name, "from", old.Node, "err", err)
			return // an unknown outcome shows at the next reading
		}
		n.log.Info("took engine", "engine", b.Name, "token", next.Token, "from", old.Node)
		o := n.adopt(b, next, ver)
		if old.LastNode != me.Node {
			o.quietFor(n.gapAfter(old))
		}
	})
	return changed
}

// gapAfter returns how long a new owner gives no orders. Two VMs must not take
// turns within OwnerAlternationGap, and tokens keep a change in one direction apart. So a
// gap is needed only where the earlier owner had taken the engine shortly before.
func (n *Node) gapAfter(old table.Owner) time.Duration {
	if old.Node == "" {
		return time.Duration(old.SettleMs) * time.Millisecond
	}
	// The session lapsed, so the taking was at least that long ago.
	return max(0, n.cfg.OwnerAlternationGap+n.cfg.LeaseMargin-n.cfg.LeaseTTL)
}

// takeover returns the ownership row of a new owner. An earlier owner that did
// not release the engine may still send orders, unless the engine arbitrates.
func takeover(old table.Owner, me table.Session, engineArbitrates bool) table.Owner {
	next := old
	next.Node, next.Process, next.Epoch, next.Address = me.Node, me.Process, me.Epoch, me.Address
	next.Token, next.LastNode, next.SettleMs = old.Token+1, me.Node, 0
	if engineArbitrates {
		next.FormerOwners = nil
		return next
	}
	if old.Node != "" {
		next = next.WithoutFormerOwner(old.Process)
		next.FormerOwners = append(next.FormerOwners, table.FormerOwner{Node: old.Node, Process: old.Process, Address: old.Address, Token: old.Token})
	}
	return next
}

// fenceHolder returns the transaction that ends the holder's session, or
// reports false while the holder may still trust its lease.
func (n *Node) fenceHolder(old table.Owner) (table.Tx, bool) {
	if old.Node == "" {
		return table.Tx{}, true // released
	}
	if old.Node == n.cfg.Name {
		return table.Tx{}, true // an earlier process of this node, or an earlier epoch; the session's own check covers it
	}
	m, ok := n.members.get(old.Node)
	if !ok {
		// The row was removed long after the session lapsed.
		key := table.Session{Node: old.Node}.Key()
		return table.Tx{Checks: []table.Check{{Key: key}}}, true
	}
	check := table.Check{Key: m.Key(), Version: m.version}
	if m.Process != old.Process || m.Epoch != old.Epoch || m.Fenced {
		return table.Tx{Checks: []table.Check{check}}, true // the session that held it has ended
	}
	if !m.lapsed {
		return table.Tx{}, false
	}
	fenced := m.Session
	fenced.Fenced = true
	return table.Tx{Checks: []table.Check{check}, Puts: []table.Put{{Key: fenced.Key(), Value: fenced.Encode()}}}, true
}

// endedSession reports whether the holder's lease is known to have ended: it
// released the engine, or its node has registered another session since.
func (n *Node) endedSession(old table.Owner) bool {
	if old.Node == "" || old.Node == n.cfg.Name {
		return true
	}
	m, ok := n.members.get(old.Node)
	return ok && (m.Process != old.Process || m.Epoch != old.Epoch || m.Fenced)
}

func (n *Node) adopt(b settings.BackendServer, row table.Owner, ver int64) *ownedEngine {
	o := newOwnedEngine(n, b, row, ver)
	n.mu.Lock()
	n.owned[b.Name] = o
	n.hints[b.Name] = n.cfg.Name
	n.mu.Unlock()
	n.tasks.Go(func() { o.recover(n.ctx) })
	return o
}

// handOver stops granting, waits for orders on the way, and releases the
// engine. Streams that run go on; the new owner learns of them from their
// entry nodes.
func (n *Node) handOver(ctx context.Context, o *ownedEngine) {
	if !o.beginHandOver() {
		return
	}
	if !o.stopOrders(ctx) || !o.releaseRow(ctx) {
		o.cancelHandOver()
		return
	}
	n.log.Info("released engine", "engine", o.name)
	n.drop(o)
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

// drop ends the node's ownership of an engine. Orders that are on the way are
// remembered until they are answered.
func (n *Node) drop(o *ownedEngine) {
	o.stop()
	n.forgetHint(o.name, n.cfg.Name)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owned[o.name] == o {
		delete(n.owned, o.name)
		n.retired[o.name] = append(n.retired[o.name], o)
	}
}

// dropAll ends the ownership of every engine, after the session was fenced.
func (n *Node) dropAll() {
	for _, o := range n.ownedEngines() {
		n.drop(o)
	}
}

// yielded reports whether no order under a fencing token below the given one
// can leave this process any more.
func (n *Node) yielded(engineName string, token int64) bool {
	if o := n.ownedEngine(engineName); o != nil && o.token < token {
		n.drop(o) // a later owner exists, so the session was fenced
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retired[engineName] = slices.DeleteFunc(n.retired[engineName], (*ownedEngine).quiet)
	return len(n.retired[engineName]) == 0
}

func (n *Node) hint(engineName, owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hints[engineName] = owner
}

// tickEngines drives the schedulers.
func (n *Node) tickEngines(ctx context.Context) {
	now := time.Now()
	for _, o := range n.ownedEngines() {
		o.tick(ctx, now)
	}
}

// learnTokens reads which fencing token every engine has reached. A takeover
// before this node registered its session did not bar its grants; every later
// one does.
func (n *Node) learnTokens(ctx context.Context) {
	rows, err := n.table.Scan(ctx, table.OwnerPrefix)
	if err != nil {
		return // tried again with the next renewal
	}
	for _, row := range rows {
		o, err := table.DecodeOwner(row)
		if err != nil {
			n.log.Error("ownership row cannot be read", "err", err)
			return
		}
		n.registry.Fence(o.Engine, o.Token)
		if o.Node != "" {
			n.hint(o.Engine, o.Node)
		}
	}
	n.tokensKnown.Store(true)
}
