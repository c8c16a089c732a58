package node

import (
	"context"
	"maps"
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
	if !n.session.leaseValid() {
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
			n.startHandover(ctx, own)
		}
	}
	for _, o := range n.ownedEngines() {
		if !configured[o.name] {
			n.startHandover(ctx, o)
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

func (n *Node) startOwnership(b settings.BackendServer, row table.Owner, ver int64) {
	o := newOwnedEngine(n, b, row, ver)
	n.mu.Lock()
	n.owned[b.Name] = o
	n.ownerHints[b.Name] = n.cfg.Name
	n.mu.Unlock()
	n.tasks.Go(func() { o.recoverOwnership(n.ctx) })
	if row.HandoverDelayMS > 0 {
		n.tasks.Go(func() { o.clearDelay(n.ctx) })
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

// awaitFormerCommands waits until no command of an ended ownership is in flight. It returns false
// if ctx ends first.
func (n *Node) awaitFormerCommands(ctx context.Context) bool {
	n.mu.Lock()
	former := slices.Concat(slices.Collect(maps.Values(n.formerlyOwned))...)
	n.mu.Unlock()
	for _, o := range former {
		if !o.awaitCommands(ctx) {
			return false
		}
	}
	return true
}

// claimableEngines returns the engines that this node owns and is not releasing.
func (n *Node) claimableEngines() map[string]bool {
	claims := make(map[string]bool)
	for _, o := range n.ownedEngines() {
		if !o.isEnding() {
			claims[o.name] = true
		}
	}
	return claims
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
