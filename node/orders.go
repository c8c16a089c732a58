package node

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	rowTries  = 5
	rowPause  = 50 * time.Millisecond
	fenceWait = 200 * time.Millisecond
)

// load carries out a load that the scheduler asked for: budget, intent,
// unload of the victim, load.
func (o *ownedEngine) load(ctx context.Context, demand int) {
	giveBack := func(bool) {}
	if !o.backend().UnloadWaits {
		giveBack = o.n.loads.acquire(ctx, o.name, demand)
	}
	o.mu.Lock()
	act, wanted := o.sched.ApproveLoad(time.Now())
	o.mu.Unlock()
	if !wanted {
		giveBack(false)
		return
	}
	defer giveBack(true)
	o.n.metrics.loads.Add(ctx, 1)
	res := engine.LoadResult{Adapter: act.Adapter, Victim: act.Victim, VictimKept: true}
	if o.beginOrder() {
		o.tryLoad(ctx, act, &res)
		o.endOrder()
	}
	if !res.OK {
		o.n.metrics.loadFailures.Add(ctx, 1)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(o.sched.FinishLoad(time.Now(), res))
}

func (o *ownedEngine) tryLoad(ctx context.Context, act engine.Action, res *engine.LoadResult) {
	if !o.announce(ctx, act) {
		return
	}
	if act.Victim != "" {
		if !o.order(func(c engine.Control) (string, error) { return c.Unload(ctx, act.Victim, o.token) }) {
			res.VictimKept = false // what the engine did is unknown: not granted until a report shows it
			return
		}
		res.VictimKept = false
		o.n.metrics.evictions.Add(ctx, 1)
	}
	res.OK = o.order(func(c engine.Control) (string, error) { return c.Load(ctx, act.Adapter, o.token) })
}

// beginOrder enters an order, unless the ownership has ended. A pause of the
// process after this point is covered by the fencing token or by the stable list
// and the quarantine, not by the lease: no check of a clock could cover it. An
// engine that checks tokens forgets its own when it restarts; there the lease
// keeps an owner that was replaced from sending more than the order on its way.
func (o *ownedEngine) beginOrder() bool {
	if o.backend().ChecksFencing && !o.n.session.valid(time.Now()) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || o.handing || o.suspects || o.backend().UnloadWaits && !o.mayOrder(time.Now()) {
		return false
	}
	o.orders++
	return true
}

func (o *ownedEngine) endOrder() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders--
	o.lastOrder = time.Now()
}

// order sends one order. It is not cut short by the end of the ownership, so
// that its answer tells when it can no longer take effect.
func (o *ownedEngine) order(send func(c engine.Control) (string, error)) bool {
	boot, err := send(o.control())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteBoot(time.Now(), boot)
	switch {
	case err == nil:
		return true
	case engine.IsKind(err, engine.Fenced):
		o.stopped = true
	case engine.IsKind(err, engine.Failed):
		o.doubtful++
	}
	o.n.log.Warn("order failed", "engine", o.name, "err", err)
	return false
}

// announce writes the intent that a load needs. The row may list an adapter that
// sits in a swap slot, such as one whose load failed after its intent; before it
// is unloaded it leaves the list like any other.
func (o *ownedEngine) announce(ctx context.Context, act engine.Action) bool {
	switch {
	case act.Stable:
		return o.writeIntent(ctx, act.Victim, act.Adapter)
	case o.listed(ctx, act.Victim):
		return o.writeIntent(ctx, act.Victim, "")
	}
	return true
}

// listed reports whether the ownership row lists an adapter as stable.
func (o *ownedEngine) listed(ctx context.Context, adapter string) bool {
	if o.writing.Acquire(ctx, 1) != nil {
		return true // the write of the intent fails likewise
	}
	defer o.writing.Release(1)
	return slices.Contains(o.row.Stable, adapter)
}

// writeIntent records that the victim leaves the stable list and the adapter
// enters it, before the orders are sent.
func (o *ownedEngine) writeIntent(ctx context.Context, victim, adapter string) bool {
	lost, ok := o.writeRow(ctx, func(row table.Owner) table.Owner { return row.WithStableChange(victim, adapter) })
	if lost {
		o.n.log.Warn("ownership was lost", "engine", o.name)
		o.n.drop(o)
	}
	return ok
}

// writeRow changes the ownership row. A write without an answer is settled by
// reading the row back. It reports lost when another owner has written.
func (o *ownedEngine) writeRow(ctx context.Context, change func(table.Owner) table.Owner) (lost, ok bool) {
	if o.writing.Acquire(ctx, 1) != nil {
		return false, false
	}
	defer o.writing.Release(1)
	next := change(o.row)
	for range rowTries {
		ver, err := o.n.table.Commit(ctx, table.Tx{
			Checks: []table.Check{{Key: next.Key(), Version: o.version}},
			Puts:   []table.Put{{Key: next.Key(), Value: next.Encode()}},
		})
		if err == nil {
			o.row, o.version = next, ver
			return false, true
		}
		if row, rerr := o.n.table.Get(ctx, next.Key()); rerr == nil && row.Version != o.version {
			now, derr := table.DecodeOwner(row)
			if derr == nil && reflect.DeepEqual(now, next) {
				o.row, o.version = next, row.Version
				return false, true
			}
			return true, false
		}
		if table.IsKind(err, table.Unavailable) {
			return false, false
		}
		sleep(ctx, rowPause)
	}
	return false, false
}

// raiseToken makes the engine refuse orders under older tokens.
func (o *ownedEngine) raiseToken(ctx context.Context) {
	for ctx.Err() == nil {
		boot, err := o.client().Fence(ctx, o.token)
		o.mu.Lock()
		if err == nil {
			o.fenceDone = true
			if o.boot == "" {
				o.boot = boot
			}
		}
		if engine.IsKind(err, engine.Fenced) {
			o.stopped = true
		}
		end := err == nil || o.stopped
		o.mu.Unlock()
		if end {
			return
		}
		sleep(ctx, fenceWait)
	}
}
