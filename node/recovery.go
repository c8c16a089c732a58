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
	recoverPause   = 250 * time.Millisecond
	recoverTimeout = time.Second
)

// recover brings a new owner to full powers step by step: the engine learns
// the token, every entry node bars older grants and names its streams, and
// earlier owners are known to be harmless.
func (o *ownedEngine) recover(ctx context.Context) {
	if o.backend().UnloadWaits {
		return // nothing that an earlier owner granted can be harmed
	}
	var wg sync.WaitGroup
	if o.backend().ChecksFencing {
		wg.Go(func() { o.raiseToken(ctx) })
	}
	wg.Go(func() { o.barAll(ctx) })
	wg.Go(func() { o.clearSuspects(ctx) })
	wg.Wait()
}

// barAll asks every session of a reading that followed the takeover. A node
// that registered later cannot hold a grant of an earlier owner.
func (o *ownedEngine) barAll(ctx context.Context) {
	var open map[string]member
	for open == nil {
		rows, err := o.n.table.Scan(ctx, table.SessionPrefix)
		if err == nil {
			open = make(map[string]member)
			for _, row := range rows {
				if s, err := table.DecodeSession(row); err == nil {
					open[s.Process] = member{Session: s, version: row.Version}
				}
			}
			break
		}
		if o.ended(ctx) {
			return
		}
		sleep(ctx, recoverPause)
	}
	for len(open) > 0 && !o.ended(ctx) {
		for process, m := range open {
			if o.bar(ctx, m) {
				delete(open, process)
			}
		}
		if len(open) > 0 {
			sleep(ctx, recoverPause)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.barsDone = len(open) == 0
}

func (o *ownedEngine) ended(ctx context.Context) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped || ctx.Err() != nil
}

// bar asks one entry node. It reports true when the node has answered or is
// gone for good.
func (o *ownedEngine) bar(ctx context.Context, m member) bool {
	if m.Process == o.n.process {
		for _, s := range o.n.registry.Fence(o.name, o.token) {
			o.adoptStream(m, s.RequestID, s.Adapter, s.ShortClass)
		}
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	resp, err := o.n.members.link(m.Address).client.Bar(ctx, connect.NewRequest(&peerpb.BarRequest{Engine: o.name, Token: o.token}))
	if err != nil {
		return o.n.gone(m.Process, m.Address)
	}
	for _, s := range resp.Msg.GetStreams() {
		o.adoptStream(m, s.GetRequestId(), s.GetAdapter(), s.GetShortClass())
	}
	// Another process at the address means that the one we meant has ended.
	return true
}

func (o *ownedEngine) adoptStream(m member, id, adapter string, short bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries[m.Process] = m.Address
	o.apply(o.sched.Adopt(time.Now(), nil, []engine.Work{{ID: id, Adapter: adapter, Short: short, EntryNode: m.Process}}))
}

// gone reports whether a process is known to have ended: the platform says so
// of its VM, or another process answers at its address.
func (n *Node) gone(process, address string) bool {
	if n.vmListNow().State(address) == vmlist.Gone {
		return true
	}
	l := n.members.link(address)
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return l.process != "" && l.process != process && l.misses == 0
}

// clearSuspects waits until every earlier owner has yielded or is gone, then
// strikes them from the row.
func (o *ownedEngine) clearSuspects(ctx context.Context) {
	if o.writing.Acquire(ctx, 1) != nil {
		return
	}
	suspects := o.row.FormerOwners
	o.writing.Release(1)
	for _, s := range suspects {
		for !o.harmless(ctx, s) {
			if o.ended(ctx) {
				return
			}
			sleep(ctx, recoverPause)
		}
	}
	o.refreshBeforeOrders(ctx)
	if len(suspects) > 0 {
		_, _ = o.writeRow(ctx, func(row table.Owner) table.Owner {
			row.FormerOwners = nil
			return row
		}) // if it fails, a later owner asks them again
	}
}

// refreshBeforeOrders takes a report that was made after the last suspect was
// cleared, and only then lets the adapters go that were held back.
func (o *ownedEngine) refreshBeforeOrders(ctx context.Context) {
	o.mu.Lock()
	suspects := o.suspects
	o.mu.Unlock()
	if !suspects {
		return
	}
	sleep(ctx, reportLag)
	for !o.ended(ctx) {
		r, err := o.client().Report(ctx)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			now := time.Now()
			o.suspects = false
			o.apply(o.sched.UnlockAdapters(now))
			o.apply(o.sched.Reconcile(now, r.Loaded))
			return
		}
		sleep(ctx, recoverPause)
	}
}

func (o *ownedEngine) harmless(ctx context.Context, s table.FormerOwner) bool {
	if s.Process == o.n.process {
		return o.n.yielded(o.name, o.token)
	}
	if o.n.gone(s.Process, s.Address) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	resp, err := o.n.members.link(s.Address).client.Yield(ctx, connect.NewRequest(&peerpb.YieldRequest{Engine: o.name, Token: o.token}))
	if err != nil {
		return false
	}
	return resp.Msg.GetProcess() != s.Process || resp.Msg.GetYielded()
}

// reconcileGrants asks the entry nodes which grants are in use and takes back
// the others, such as those whose answer or release was lost.
func (n *Node) reconcileGrants(ctx context.Context) {
	for _, o := range n.ownedEngines() {
		for process, ids := range o.grantsByEntry(time.Now()) {
			n.tasks.Go(func() { o.reconcile(ctx, process, ids) })
		}
	}
}

// grantsByEntry returns the grants that are old enough to be asked about.
func (o *ownedEngine) grantsByEntry(now time.Time) map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	byEntry := make(map[string][]string)
	for _, w := range o.sched.Running() {
		if w.Age(now) > reconcileEvery {
			byEntry[w.EntryNode] = append(byEntry[w.EntryNode], w.ID)
		}
	}
	return byEntry
}

func (o *ownedEngine) reconcile(ctx context.Context, process string, ids []string) {
	if process == o.n.process {
		o.releaseUnused(ids, o.n.registry.Reconcile(o.name, ids))
		return
	}
	o.mu.Lock()
	address := o.entries[process]
	o.mu.Unlock()
	if o.n.gone(process, address) {
		o.cancelAll(ctx, ids)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	resp, err := o.n.members.link(address).client.Reconcile(ctx, connect.NewRequest(&peerpb.ReconcileRequest{Engine: o.name, RequestIds: ids}))
	if err != nil {
		return // a silent node keeps its pins
	}
	if resp.Msg.GetProcess() != process {
		o.cancelAll(ctx, ids)
		return
	}
	o.releaseUnused(ids, resp.Msg.GetInUse())
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

// cancelAll ends the streams of an entry node that is gone. A grant is taken
// back only after the engine has confirmed that its stream does not run.
func (o *ownedEngine) cancelAll(ctx context.Context, ids []string) {
	for _, id := range ids {
		if o.backend().UnloadWaits {
			o.release(id, false, 0) // the engine drops it with its connection
			continue
		}
		if err := o.client().Cancel(ctx, id); err == nil {
			o.release(id, false, 0)
		}
	}
}
