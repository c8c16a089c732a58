package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/table"
	"github.com/vanilladrift/vanilladrift/vmlist"
)

const (
	recoveryRetryPause = 250 * time.Millisecond
	peerCallTimeout    = time.Second
)

// recoverOwnership prepares a new owner for full operation. It raises the engine's
// fencing token, makes every entry node reject older grants and report its streams, and
// waits until the former owners can send no more commands.
func (o *ownedEngine) recoverOwnership(ctx context.Context) {
	if o.backend().UnloadWaitsForRequests {
		return // unloading waits for running requests, so grants of former owners are safe
	}
	var wg sync.WaitGroup
	if o.backend().ChecksFencing {
		wg.Go(func() { o.raiseToken(ctx) })
	}
	wg.Go(func() { o.fenceOlderGrants(ctx) })
	wg.Go(func() { o.clearFormerOwners(ctx) })
	wg.Wait()
}

// fenceOlderGrants fences the grants at every node whose session row was read after the
// takeover. A node that registered later cannot hold a grant of a former owner.
func (o *ownedEngine) fenceOlderGrants(ctx context.Context) {
	var pending map[string]member
	for pending == nil {
		rows, err := o.n.table.Scan(ctx, table.SessionPrefix)
		if err == nil {
			pending = make(map[string]member)
			for _, row := range rows {
				if s, err := table.DecodeSession(row); err == nil {
					pending[s.Process] = member{Session: s, version: row.Version}
				}
			}
			break
		}
		if o.hasStopped(ctx) {
			return
		}
		sleep(ctx, recoveryRetryPause)
	}
	for len(pending) > 0 && !o.hasStopped(ctx) {
		for process, m := range pending {
			if o.fenceGrantsAt(ctx, m) {
				delete(pending, process)
			}
		}
		if len(pending) > 0 {
			sleep(ctx, recoveryRetryPause)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.olderGrantsFenced = len(pending) == 0
}

func (o *ownedEngine) hasStopped(ctx context.Context) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped || ctx.Err() != nil
}

// fenceGrantsAt fences the grants at one entry node. It returns true if the node has
// responded or its process has ended.
func (o *ownedEngine) fenceGrantsAt(ctx context.Context, m member) bool {
	if m.Process == o.n.process {
		for _, s := range o.n.registry.Fence(o.name, o.token) {
			o.adoptStream(m, s.RequestID, s.Adapter, s.Short)
		}
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := o.n.members.link(m.Address).client.Bar(ctx, connect.NewRequest(&peerpb.BarRequest{Engine: o.name, Token: o.token}))
	if err != nil {
		return o.n.processEnded(m.Process, m.Address)
	}
	for _, s := range resp.Msg.GetStreams() {
		o.adoptStream(m, s.GetRequestId(), s.GetAdapter(), s.GetShortClass())
	}
	// If another process responds at the address, the one in the session row has ended.
	return true
}

func (o *ownedEngine) adoptStream(m member, id, adapter string, short bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entryAddresses[m.Process] = m.Address
	o.apply(o.sched.Adopt(time.Now(), nil, []engine.Work{{ID: id, Adapter: adapter, Short: short, EntryNode: m.Process}}))
}

// processEnded reports whether a process is known to have ended: the VM list says so,
// or another process responds at its address.
func (n *Node) processEnded(process, address string) bool {
	if n.currentVMList().State(address) == vmlist.Gone {
		return true
	}
	l := n.members.link(address)
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return l.process != "" && l.process != process && l.misses == 0
}

// clearFormerOwners waits until every former owner has yielded or ended, then removes
// them from the row.
func (o *ownedEngine) clearFormerOwners(ctx context.Context) {
	if o.rowLock.Acquire(ctx, 1) != nil {
		return
	}
	formerOwners := o.row.FormerOwners
	o.rowLock.Release(1)
	for _, former := range formerOwners {
		for !o.formerOwnerCleared(ctx, former) {
			if o.hasStopped(ctx) {
				return
			}
			sleep(ctx, recoveryRetryPause)
		}
	}
	o.syncAfterFormerOwners(ctx)
	if len(formerOwners) > 0 {
		_ = o.writeRow(ctx, func(row table.Owner) table.Owner {
			row.FormerOwners = nil
			return row
		}) // on failure the next owner checks them again
	}
}

// syncAfterFormerOwners fetches a report that is newer than the last command of the
// former owners, and only then unlocks the adapters that may not be granted yet.
func (o *ownedEngine) syncAfterFormerOwners(ctx context.Context) {
	o.mu.Lock()
	hasFormerOwners := o.hasFormerOwners
	o.mu.Unlock()
	if !hasFormerOwners {
		return
	}
	sleep(ctx, maxReportAge)
	for !o.hasStopped(ctx) {
		r, err := o.client().Report(ctx)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			now := time.Now()
			o.hasFormerOwners = false
			o.apply(o.sched.UnlockAdapters(now))
			o.apply(o.sched.Reconcile(now, r.Loaded))
			return
		}
		sleep(ctx, recoveryRetryPause)
	}
}

func (o *ownedEngine) formerOwnerCleared(ctx context.Context, former table.FormerOwner) bool {
	if former.Process == o.n.process {
		return o.n.hasYielded(o.name, o.token)
	}
	if o.n.processEnded(former.Process, former.Address) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := o.n.members.link(former.Address).client.Yield(ctx, connect.NewRequest(&peerpb.YieldRequest{Engine: o.name, Token: o.token}))
	if err != nil {
		return false
	}
	return resp.Msg.GetProcess() != former.Process || resp.Msg.GetYielded()
}

// reconcileGrants queries the entry nodes for the grants that are in use, and
// ends the others, such as those whose response or release was lost.
func (n *Node) reconcileGrants(ctx context.Context) {
	for _, o := range n.ownedEngines() {
		for process, work := range o.grantsByEntry(time.Now()) {
			n.tasks.Go(func() { o.reconcileEntry(ctx, process, work) })
		}
	}
}

// grantsByEntry returns the work with grants older than reconcileInterval, by the process
// of its entry node.
func (o *ownedEngine) grantsByEntry(now time.Time) map[string][]engine.Work {
	o.mu.Lock()
	defer o.mu.Unlock()
	byEntry := make(map[string][]engine.Work)
	for _, w := range o.sched.Running() {
		if w.Age(now) > reconcileInterval {
			byEntry[w.EntryNode] = append(byEntry[w.EntryNode], w)
		}
	}
	return byEntry
}

func workIDs(work []engine.Work) []string {
	ids := make([]string, 0, len(work))
	for _, w := range work {
		ids = append(ids, w.ID)
	}
	return ids
}

func (o *ownedEngine) reconcileEntry(ctx context.Context, process string, work []engine.Work) {
	ids := workIDs(work)
	if process == o.n.process {
		o.releaseUnused(ids, o.n.registry.Reconcile(o.name, ids))
		return
	}
	o.mu.Lock()
	address := o.entryAddresses[process]
	o.mu.Unlock()
	if o.n.processEnded(process, address) {
		o.cancelStreams(ctx, ids)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := o.n.members.link(address).client.Reconcile(callCtx, connect.NewRequest(&peerpb.ReconcileRequest{Engine: o.name, RequestIds: ids}))
	if err != nil {
		o.cancelStreams(ctx, o.grantsOfSilent(time.Now(), process, work))
		return
	}
	if resp.Msg.GetProcess() != process {
		o.cancelStreams(ctx, ids)
		return
	}
	o.releaseUnused(ids, resp.Msg.GetInUse())
}

// grantsOfSilent returns the grants that an entry node loses if it does not respond: those whose
// deadline has passed, as it and the engine end the streams then; and all of them if its session has
// ended, at an engine that refuses requests beyond its capacity by itself. A node that is only cut
// off keeps the others, since its streams go on.
func (o *ownedEngine) grantsOfSilent(now time.Time, process string, work []engine.Work) (ids []string) {
	ended := o.backend().UnloadWaitsForRequests && o.n.members.sessionEnded(process)
	for _, w := range work {
		if ended || !w.Deadline.IsZero() && now.After(w.Deadline.Add(reconcileInterval)) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (o *ownedEngine) releaseUnused(ids, inUse []string) {
	used := make(map[string]bool, len(inUse))
	for _, id := range inUse {
		used[id] = true
	}
	for _, id := range ids {
		if !used[id] {
			o.release(id, false, 0)
		}
	}
}

// cancelStreams cancels the streams of an entry node that has ended. A grant ends only
// after the engine has confirmed that its stream is not running.
func (o *ownedEngine) cancelStreams(ctx context.Context, ids []string) {
	for _, id := range ids {
		if o.backend().UnloadWaitsForRequests {
			o.release(id, false, 0) // the engine ends the stream when its connection closes
			continue
		}
		if err := o.client().Cancel(ctx, id); err == nil {
			o.release(id, false, 0)
		}
	}
}
