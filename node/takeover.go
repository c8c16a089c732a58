package node

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

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
	if b.UnloadWaitsForRequests && n.hasCommandsInFlight(b.Name) {
		return false // such an engine does not tell them from those under a later token
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
			changed = n.writeOwner(ctx, b, old, self, table.Tx{Checks: []table.Check{check}}, row, n.cfg.OwnerAlternationGap, true)
			return
		}
		tx, ok := n.checkOwnerSessionEnded(old)
		if !ok {
			n.setOwnerHint(b.Name, old.Node)
			n.log.Debug("engine has a live owner; not taking it over", "engine", b.Name, "owner", old.Node, "process", old.Process)
			return
		}
		tx.Checks = append(tx.Checks, check)
		changed = n.writeOwner(ctx, b, old, self, tx, row, n.commandDelayAfter(old), old.Node == n.cfg.Name)
	})
	return changed
}

// takeOverFromCopy takes over an engine whose ownership row is of an earlier generation of
// the table, or missing. It tells nothing about the last owner.
func (n *Node) takeOverFromCopy(ctx context.Context, b settings.BackendServer, old table.Owner, self table.Session, check table.Check, row table.Row) (changed bool) {
	delay, ok := n.mayTakeOverFromCopy(b.Name)
	if !ok {
		n.log.Debug("the ownership row is of before the restore; not taking the engine over yet", "engine", b.Name, "owner", old.Node)
		return false
	}
	return n.writeOwner(ctx, b, old, self, table.Tx{Checks: []table.Check{check}}, row, delay, n.hasClaim(b.Name))
}

// writeOwner writes this node into the ownership row that was read, if the checks of the
// transaction hold, and starts the ownership, which sends no commands during the delay. isAgain is set if no
// other node has owned the engine since this node or an earlier process of it did.
func (n *Node) writeOwner(ctx context.Context, b settings.BackendServer, old table.Owner, self table.Session, tx table.Tx, row table.Row, delay time.Duration, isAgain bool) (changed bool) {
	next := newOwnerRow(old, self, b.ChecksFencing || b.UnloadWaitsForRequests)
	if b.UnloadWaitsForRequests {
		next.HandoverDelayMS = delay.Milliseconds()
	} else {
		next.HandoverDelayMS = 0 // fencing or the list of former owners guards such an engine
	}
	tx.Checks = append(tx.Checks, table.Check{Key: next.Key(), Version: row.Version, Generation: row.Generation})
	tx.Puts = append(tx.Puts, table.Put{Key: next.Key(), Value: next.Encode()})
	ver, err := n.table.Commit(ctx, tx)
	if err != nil {
		n.log.Info("engine takeover failed; retrying with the next poll", "engine", b.Name, "from", old.Node, "err", err)
		return table.IsKind(err, table.Conflict) // the next read shows whether the commit was applied
	}
	n.log.Info("took over the engine", "engine", b.Name, "token", next.FencingToken, "from", old.Node, "former-row-version", row.Version, "row-version", ver)
	n.dropClaim(b.Name)
	wasReleased := old.Node == "" && old.Generation == self.Generation
	next.LateLoadsKnown = n.continueCommandTimes(b.Name, isAgain, next.FencingToken == 1 || wasReleased && old.LateLoadsKnown)
	n.startOwnership(b, next, ver)
	return false
}

// commandDelayAfter returns how long a new owner sends no commands. Two VMs must not
// alternate as owners within OwnerAlternationGap. After a single change of owner,
// fencing tokens tell the commands of the two apart. A delay is therefore needed only
// if the former owner may have sent its first command shortly before, or ended without
// releasing the engine, so that its commands may still arrive. An earlier session of this node may have
// ended during its delay.
func (n *Node) commandDelayAfter(old table.Owner) time.Duration {
	if old.Node == "" || old.Node == n.cfg.Name {
		delay := time.Duration(old.HandoverDelayMS) * time.Millisecond
		if old.Node != "" && old.Process != n.process {
			delay = max(delay, n.cfg.CommandArrivalBound-time.Since(n.created)) // for what the killed process sent last
		}
		return delay
	}
	if m, ok := n.members.get(old.Node); !ok || m.Process != old.Process {
		return n.cfg.OwnerAlternationGap // its session was replaced or removed, maybe just now
	}
	return max(n.cfg.CommandArrivalBound, n.ownerAlternationDelay())
}

// ownerAlternationDelay is the delay after an owner whose lease has ended. It may have sent its first
// command in the last moment of the lease, twice the margin before others can take over.
func (n *Node) ownerAlternationDelay() time.Duration {
	return max(0, n.cfg.OwnerAlternationGap-2*n.cfg.LeaseMargin)
}

// newOwnerRow returns the ownership row of a new owner. A former owner that did not
// release the engine may still send commands, so it is listed as a former owner, unless
// the engine itself rejects its commands.
func newOwnerRow(old table.Owner, self table.Session, engineArbitrates bool) table.Owner {
	next := old
	next.Node, next.Process, next.Epoch, next.Address = self.Node, self.Process, self.Epoch, self.Address
	next.FencingToken, next.Generation = old.NextFencingToken(self.Generation), self.Generation
	next.LastNode = self.Node
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

// takeOverReleased takes over an engine that has no owner any more, if it is configured
// here, without waiting for the next poll.
func (n *Node) takeOverReleased(name string) {
	b, ok := n.store.Tree().Backend(name)
	if !ok || n.session.isLeaving() || n.ownedEngine(name) != nil {
		return
	}
	n.tasks.Go(func() {
		if n.reconcileLock.Acquire(n.ctx, 1) != nil {
			return
		}
		if n.ownedEngine(name) == nil {
			n.takeOver(n.ctx, *b)
		}
		n.reconcileLock.Release(1)
		if n.ownedEngine(name) == nil {
			n.pollMembersSoon() // its owner may have been fenced since the sessions were read
		}
	})
}
