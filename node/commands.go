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
	rowWriteAttempts = 5
	rowRetryPause    = 50 * time.Millisecond
	fenceRetryPause  = 200 * time.Millisecond
)

// performLoad carries out a load that the scheduler requested. It acquires the load
// from the budget, writes the intent, unloads the victim and loads the adapter.
func (o *ownedEngine) performLoad(ctx context.Context, demand int) {
	releaseLoad := func(bool) {}
	if !o.backend().UnloadWaitsForRequests {
		releaseLoad = o.n.loadBudget.acquire(ctx, o.name, demand)
	}
	o.mu.Lock()
	o.updateReservedSlots(time.Now())
	act, wanted := o.sched.ApproveLoad(time.Now())
	o.mu.Unlock()
	if !wanted {
		releaseLoad(false)
		return
	}
	defer releaseLoad(true)
	o.n.metrics.loads.Add(ctx, 1)
	res := engine.LoadResult{Adapter: act.Adapter, Victim: act.Victim, VictimKept: true}
	if o.beginCommand() {
		o.unloadAndLoad(ctx, act, &res)
		o.endCommand()
	}
	if !res.OK {
		o.n.metrics.loadFailures.Add(ctx, 1)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(o.sched.FinishLoad(time.Now(), res))
}

func (o *ownedEngine) unloadAndLoad(ctx context.Context, act engine.Action, res *engine.LoadResult) {
	if !o.writeLoadIntent(ctx, act) {
		return
	}
	if act.Victim != "" {
		if !o.sendCommand(func(c engine.Control) (string, error) { return c.Unload(ctx, act.Victim, o.token) }) {
			res.VictimKept = false // the engine may have unloaded it: no grants until a report lists it
			return
		}
		res.VictimKept = false
		o.n.metrics.evictions.Add(ctx, 1)
	}
	res.OK = o.sendCommand(func(c engine.Control) (string, error) { return c.Load(ctx, act.Adapter, o.token) })
}

// beginCommand registers a command, unless the ownership has ended. If the process
// pauses after this check, its command may be sent late. The lease cannot guard against
// that, since no check of a clock could. The fencing token does; for engines that
// ignore it, the next owner grants only adapters on the stable list until its former
// owners can send no more commands. An engine that checks fencing tokens forgets its
// token when it restarts; there the lease keeps a replaced owner from sending more than
// the command in flight.
func (o *ownedEngine) beginCommand() bool {
	if o.backend().ChecksFencing && !o.n.session.leaseValid() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped || o.handingOver || o.hasFormerOwners || o.backend().UnloadWaitsForRequests && !o.leaseAllowsCommands(time.Now()) {
		return false
	}
	o.commandsInFlight++
	return true
}

func (o *ownedEngine) endCommand() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commandsInFlight--
	o.lastCommandEnd = time.Now()
	o.times.ended(o.lastCommandEnd)
}

// sendCommand sends one command. The end of the ownership does not cancel it, so its
// response tells when it can no longer take effect.
func (o *ownedEngine) sendCommand(send func(c engine.Control) (string, error)) bool {
	boot, err := send(o.control())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordBoot(time.Now(), boot)
	switch {
	case err == nil:
		return true
	case engine.IsKind(err, engine.Fenced):
		o.stopped = true
	case engine.IsKind(err, engine.Failed):
		o.commandsUnanswered++
	}
	o.n.log.Warn("engine command failed; giving up the load and refusing the work that waits for it", "engine", o.name, "err", err)
	return false
}

// writeLoadIntent writes the intent that a load requires. The row may list an adapter
// in a swap slot as stable, for example when its load failed after its intent was
// written. Such an adapter also leaves the list before it is unloaded.
func (o *ownedEngine) writeLoadIntent(ctx context.Context, act engine.Action) bool {
	switch {
	case act.Stable:
		return o.writeIntent(ctx, act.Victim, act.Adapter)
	case o.isStable(ctx, act.Victim):
		return o.writeIntent(ctx, act.Victim, "")
	}
	return true
}

// isStable reports whether the ownership row lists an adapter as stable.
func (o *ownedEngine) isStable(ctx context.Context, adapter string) bool {
	if o.rowLock.Acquire(ctx, 1) != nil {
		return true // writing the intent fails for the same reason
	}
	defer o.rowLock.Release(1)
	return slices.Contains(o.row.StableAdapters, adapter)
}

// writeIntent removes the victim from the stable list and adds the adapter, before the
// commands are sent.
func (o *ownedEngine) writeIntent(ctx context.Context, victim, adapter string) bool {
	outcome := o.writeRow(ctx, func(row table.Owner) table.Owner { return row.WithStableChange(victim, adapter) })
	if outcome == rowLost {
		o.n.log.Warn("another node has taken over the engine; ending ownership", "engine", o.name)
		o.n.endOwnership(o)
	}
	return outcome == rowWritten
}

// clearDelay removes the delay from the ownership row once it is over, so that the next process of this
// node does not wait again. A failed write only costs that process the wait.
func (o *ownedEngine) clearDelay(ctx context.Context) {
	sleep(ctx, o.times.noneLeft())
	if ctx.Err() != nil || o.isEnding() {
		return
	}
	outcome := o.writeRow(ctx, func(row table.Owner) table.Owner {
		if row.Process == o.n.process { // otherwise released meanwhile, with a delay for the next owner
			row.HandoverDelayMS = 0
		}
		return row
	})
	if outcome == rowLost {
		o.n.log.Warn("another node has taken over the engine; ending ownership", "engine", o.name)
		o.n.endOwnership(o)
	}
}

// rowOutcome is the outcome of a change to an ownership row.
type rowOutcome int

const (
	rowUnchanged rowOutcome = iota // nothing was written
	rowWritten                     // the row has the change
	rowLost                        // the row was written by something else meanwhile
	rowUnknown                     // a write may still be applied
)

// writeRow changes the ownership row. If the write gets no response, it reads the row
// to learn the outcome.
func (o *ownedEngine) writeRow(ctx context.Context, change func(table.Owner) table.Owner) rowOutcome {
	if o.rowLock.Acquire(ctx, 1) != nil {
		return rowUnchanged
	}
	defer o.rowLock.Release(1)
	next := change(o.row)
	failed := rowUnchanged
	for range rowWriteAttempts {
		ver, err := o.n.table.Commit(ctx, table.Tx{
			Checks: []table.Check{{Key: next.Key(), Version: o.version, Generation: o.row.Generation}},
			Puts:   []table.Put{{Key: next.Key(), Value: next.Encode()}},
		})
		if err == nil {
			o.row, o.version = next, ver
			return rowWritten
		}
		if table.IsKind(err, table.Restored) {
			return rowLost // the row of this generation, if any, is another one
		}
		if !table.IsKind(err, table.Unavailable) && !table.IsKind(err, table.Conflict) {
			failed = rowUnknown
		}
		if row, rerr := o.n.table.Get(ctx, next.Key()); rerr == nil && row.Version != o.version {
			current, derr := table.DecodeOwner(row)
			if derr == nil && reflect.DeepEqual(current, next) {
				o.row, o.version = next, row.Version
				return rowWritten
			}
			return rowLost
		}
		if table.IsKind(err, table.Unavailable) {
			return failed
		}
		sleep(ctx, rowRetryPause)
	}
	return failed
}

// raiseToken sends the fencing token to the engine, which then rejects commands with
// older tokens. It retries until the engine responds.
func (o *ownedEngine) raiseToken(ctx context.Context) {
	for ctx.Err() == nil {
		boot, err := o.client().Fence(ctx, o.token)
		o.mu.Lock()
		if err == nil {
			o.engineFenced = true
			if o.boot == "" {
				o.boot = boot
			}
		}
		if engine.IsKind(err, engine.Fenced) {
			o.stopped = true
		}
		done := err == nil || o.stopped
		o.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, fenceRetryPause)
	}
}
