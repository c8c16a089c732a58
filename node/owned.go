package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	tickEvery      = 100 * time.Millisecond
	reconcileEvery = 2 * time.Second
	reportEvery    = 2 * time.Second
	// reportLag bounds how late a load report may be. An engine that evicts
	// when it is full gets no orders from a new owner until it has passed.
	reportLag = 3 * time.Second
	stopPoll  = 10 * time.Millisecond
	// prepareTimeout bounds the load of a base model.
	prepareTimeout = 15 * time.Second
)

// ownedEngine is an engine that this node owns: its scheduler and the orders
// that the scheduler asks for.
type ownedEngine struct {
	n      *Node
	name   string
	token  int64
	server atomic.Pointer[settings.BackendServer]
	taken  time.Time

	writing *semaphore.Weighted // held while the ownership row is written or read
	row     table.Owner
	version int64

	mu         sync.Mutex
	sched      *engine.Scheduler
	waiters    map[string]chan engine.Action
	entries    map[string]string // process to address of entry nodes with grants
	stopped    bool              // no order may start
	handing    bool              // a hand-over is under way
	orders     int               // orders on the way
	doubtful   int               // orders without an answer
	boot       string
	lastOrder  time.Time
	lastReport time.Time
	reporting  bool
	fenceDone  bool // the engine knows the token
	barsDone   bool // every entry node has barred older grants
	suspects   bool // an earlier owner may still send orders

	seq        *engine.Sequencer // for an engine that numbers its orders
	quietUntil time.Time         // orders of an earlier owner may have been sent shortly before
	preparing  bool              // the base model is being loaded
}

func newOwnedEngine(n *Node, b settings.BackendServer, row table.Owner, ver int64) *ownedEngine {
	o := &ownedEngine{
		n: n, name: b.Name, token: row.Token, taken: time.Now(), writing: semaphore.NewWeighted(1), row: row, version: ver,
		waiters: make(map[string]chan engine.Action), entries: make(map[string]string),
		fenceDone: !b.ChecksFencing, suspects: len(row.FormerOwners) > 0, barsDone: b.UnloadWaits,
	}
	o.server.Store(&b)
	o.sched = engine.NewScheduler(engine.SchedulerConfig{
		Slots: b.Slots, SwapSlots: b.SwapSlots, BatchSize: b.BatchSize, NeedsIntents: !b.ChecksFencing && !b.UnloadWaits,
		ServesBase: b.UnloadWaits, MaxLoads: b.MaxLoads, PrefillSpeed: b.PrefillSpeed, SerialPrefill: b.PrefillSpeed > 0, TokenTime: b.TokenTime,
	})
	if n.cfg.Sequencer != nil {
		o.seq = n.cfg.Sequencer(b)
		o.seq.Slots, o.seq.Model, o.seq.InUse = b.Slots, b.BaseModel, o.wants
		o.seq.CanSend = o.maySend
	}
	o.sched.SetMode(time.Now(), engine.Mode{Recovering: true})
	return o
}

// backend returns the engine's settings.
func (o *ownedEngine) backend() *settings.BackendServer { return o.server.Load() }

// wants reports whether the scheduler has a use for an adapter.
func (o *ownedEngine) wants(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.NeedsAdapter(name)
}

// maySend reports whether an order that has begun may still be sent.
func (o *ownedEngine) maySend() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.stopped && o.mayOrder(time.Now())
}

// quietFor lets no order start for a while.
func (o *ownedEngine) quietFor(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quietUntil = time.Now().Add(d)
}

// wait returns the expected wait of short work on a loaded adapter.
func (o *ownedEngine) wait(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _, wait := o.sched.Stats(now)
	return wait
}

// queue returns how many requests run and wait.
func (o *ownedEngine) queue() (running, waiting int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, waiting, _ = o.sched.Stats(time.Now())
	return running, waiting
}

// submit offers work and waits for the grant or the refusal.
func (o *ownedEngine) submit(ctx context.Context, w engine.Work, address string) engine.Action {
	ch := make(chan engine.Action, 1)
	o.mu.Lock()
	if o.stopped || o.handing {
		o.mu.Unlock()
		return engine.Action{Kind: engine.Refuse, Reason: engine.Moved, RetryAfter: stopPoll}
	}
	o.entries[w.EntryNode] = address
	o.waiters[w.ID] = ch
	o.apply(o.sched.Submit(time.Now(), w))
	o.mu.Unlock()
	select {
	case act := <-ch:
		return act
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, w.ID)
	o.apply(o.sched.Cancel(time.Now(), w.ID))
	o.apply(o.sched.Release(time.Now(), w.ID, false)) // if it was granted just now
	return engine.Action{Kind: engine.Refuse, Reason: engine.TooLate}
}

// release ends a grant.
func (o *ownedEngine) release(id string, missing bool, tokenTime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if tokenTime > 0 {
		o.sched.ObserveTokenTime(time.Now(), tokenTime)
	}
	o.apply(o.sched.Release(time.Now(), id, missing))
}

// apply carries out what the scheduler asked for. The lock is held.
func (o *ownedEngine) apply(acts []engine.Action) {
	for _, act := range acts {
		if act.Kind == engine.RequestLoad {
			o.n.tasks.Go(func() { o.load(o.n.ctx, act.Demand) })
			continue
		}
		if ch := o.waiters[act.Work.ID]; ch != nil {
			delete(o.waiters, act.Work.ID)
			ch <- act
		}
	}
}

// mode derives the scheduler's mode from what is known. The lock is held.
func (o *ownedEngine) mode(now time.Time) engine.Mode {
	if o.backend().UnloadWaits {
		return engine.Mode{
			Recovering: o.lastReport.IsZero() || o.seq != nil && !o.seq.ModelReady(),
			Draining:   o.draining(),
			ReadOnly:   !o.mayOrder(now),
		}
	}
	return engine.Mode{
		Recovering: o.lastReport.IsZero() || !o.fenceDone,
		Draining:   o.draining(),
		ReadOnly:   o.suspects || o.backend().ChecksFencing && !o.n.session.valid(now) || !o.backend().RefusesWhenFull && now.Sub(o.taken) < reportLag,
		NoEvict:    !o.barsDone,
		SwapOnly:   !o.n.tableUp.Load(),
	}
}

// mayOrder reports whether the lease lets this node give orders to an engine
// that does not arbitrate between holders. The lock is held.
func (o *ownedEngine) mayOrder(now time.Time) bool {
	return o.n.session.valid(now) && !now.Before(o.quietUntil)
}

func (o *ownedEngine) draining() bool { return draining(o.backend(), o.n.vmListNow()) }

// tick moves the scheduler's time on and polls the engine's report.
func (o *ownedEngine) tick(ctx context.Context, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, ok := o.n.store.Tree().Backend(o.name); ok {
		o.server.Store(b)
	}
	if m := o.mode(now); m != o.sched.Mode() {
		o.apply(o.sched.SetMode(now, m))
	} else {
		o.apply(o.sched.Tick(now))
	}
	if !o.reporting && now.Sub(o.lastReport) > reportEvery {
		o.reporting = true
		o.n.tasks.Go(func() { o.report(ctx) })
	}
}

// report fetches a load report and corrects the scheduler's view of the slots.
func (o *ownedEngine) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportEvery)
	defer cancel()
	asked := time.Now()
	r, err := o.control().Report(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reporting = false
	if err != nil {
		o.n.log.Debug("no report", "engine", o.name, "err", err)
		return
	}
	if o.seq != nil && !o.seq.ModelReady() && !o.preparing && o.mayOrder(time.Now()) {
		o.preparing = true
		o.n.tasks.Go(func() { o.prepare(ctx) })
	}
	now := time.Now()
	first := o.lastReport.IsZero()
	o.lastReport = now
	o.noteBoot(now, r.Boot)
	switch {
	case first:
		o.apply(o.sched.Adopt(now, o.found(r.Loaded), nil))
	case o.orders == 0 && asked.Sub(o.lastOrder) > reportLag && !o.suspects:
		o.apply(o.sched.Reconcile(now, r.Loaded))
	}
}

// found sorts what a report shows: while an earlier owner may still send
// orders, only the adapters on the stable list may be granted.
func (o *ownedEngine) found(names []string) []engine.ResidentAdapter {
	stable := make(map[string]bool, len(o.row.Stable))
	for _, name := range o.row.Stable {
		stable[name] = true
	}
	list := make([]engine.ResidentAdapter, 0, len(names))
	for _, name := range names {
		swap := !o.backend().ChecksFencing && !stable[name]
		list = append(list, engine.ResidentAdapter{Adapter: name, Swap: swap, Locked: o.suspects && swap})
	}
	return list
}

// noteBoot notices that the engine restarted cold. The lock is held.
func (o *ownedEngine) noteBoot(now time.Time, boot string) {
	if boot == "" || boot == o.boot {
		return
	}
	if o.boot != "" {
		o.n.log.Warn("engine restarted", "engine", o.name)
		o.apply(o.sched.Reset(now))
		o.fenceDone = !o.backend().ChecksFencing
		if !o.fenceDone {
			o.n.tasks.Go(func() { o.raiseToken(o.n.ctx) })
		}
	}
	o.boot = boot
}

// prepare loads the base model of an engine that came up without it.
func (o *ownedEngine) prepare(ctx context.Context) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.preparing = false
	}()
	if !o.beginOrder() {
		return
	}
	defer o.endOrder()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), prepareTimeout)
	defer cancel()
	err := o.seq.LoadModel(ctx, o.token)
	o.n.log.Info("base model ordered", "engine", o.name, "model", o.backend().BaseModel, "err", err)
}

// control returns what gives orders to the engine.
func (o *ownedEngine) control() engine.Control {
	if o.seq != nil {
		return engine.Control{Load: o.seq.Load, Unload: o.seq.Unload, Report: o.seq.Report}
	}
	c := o.client()
	return engine.Control{Load: c.Load, Unload: c.Unload, Report: c.Report}
}

func (o *ownedEngine) client() *engine.Client { return o.n.clientOf(o.backend()) }

// beginHandOver refuses new work from now on; it reports false if a hand-over
// is under way already.
func (o *ownedEngine) beginHandOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handing || o.stopped {
		return false
	}
	o.handing = true
	o.apply(o.sched.RefuseAll(time.Now(), engine.Moved))
	return true
}

func (o *ownedEngine) cancelHandOver() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handing = false
}

// stopOrders waits until no order is on the way. New ones cannot start while
// a hand-over is under way.
func (o *ownedEngine) stopOrders(ctx context.Context) bool {
	for {
		o.mu.Lock()
		idle := o.orders == 0
		o.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stopPoll):
		}
	}
}

// releaseRow writes the ownership row without an owner. After an order whose
// answer never came, this process stays a suspect.
func (o *ownedEngine) releaseRow(ctx context.Context) bool {
	o.mu.Lock()
	doubt := o.doubtful > 0 && !o.backend().ChecksFencing
	o.mu.Unlock()
	_, ok := o.writeRow(ctx, func(row table.Owner) table.Owner {
		if doubt {
			row.FormerOwners = append(row.WithoutFormerOwner(row.Process).FormerOwners,
				table.FormerOwner{Node: row.Node, Process: row.Process, Address: row.Address, Token: row.Token})
		}
		row.SettleMs = max(0, (o.n.cfg.OwnerAlternationGap - time.Since(o.taken)).Milliseconds())
		row.Node, row.Process, row.Address = "", "", ""
		return row
	})
	return ok
}

// stop ends the ownership: nothing is granted and no order starts.
func (o *ownedEngine) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	o.apply(o.sched.RefuseAll(time.Now(), engine.Moved))
}

// quiet reports whether no order can leave or be on the way.
func (o *ownedEngine) quiet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped && o.orders == 0 && o.doubtful == 0
}
