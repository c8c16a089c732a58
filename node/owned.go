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
	tickInterval      = 100 * time.Millisecond
	reconcileInterval = 2 * time.Second
	reportInterval    = 2 * time.Second
	// maxReportAge is the maximum age of a load report. For this time after a takeover,
	// no commands are sent to an engine that evicts adapters when it is full.
	maxReportAge         = 3 * time.Second
	handoverPollInterval = 10 * time.Millisecond
	// baseModelLoadTimeout bounds the load of a base model.
	baseModelLoadTimeout = 15 * time.Second
)

// ownedEngine is an engine that this node owns: its scheduler, and the commands that
// the scheduler requests.
type ownedEngine struct {
	n           *Node
	name        string
	token       int64
	server      atomic.Pointer[settings.BackendServer]
	takenOverAt time.Time

	handoverLock *semaphore.Weighted // held during a handover

	rowLock *semaphore.Weighted // held while the ownership row is read or written
	row     table.Owner
	version int64

	mu                 sync.Mutex
	sched              *engine.Scheduler
	waiters            map[string]chan engine.Action // request ID to the channel for its grant or refusal
	entryAddresses     map[string]string             // process of an entry node with grants to its address
	stopped            bool                          // no command may start
	handingOver        bool                          // a handover is in progress
	loads              context.Context               // ends when loads have to end
	endLoads           context.CancelFunc
	commandsInFlight   int       // commands without a response yet
	commandsUnanswered int       // commands that failed without a response
	arrivalsUntil      time.Time // commands without a response may arrive until then
	boot               string
	lastCommandEnd     time.Time
	lastReport         time.Time
	reportPending      bool
	engineFenced       bool // the engine has the current fencing token
	olderGrantsFenced  bool // every entry node rejects grants of former owners
	hasFormerOwners    bool // a former owner may still send commands

	seq              *engine.Sequencer // set for a sequenced engine
	times            *commandTimes     // of this node
	sharingLateLoads atomic.Bool       // a write of them is about to begin
	loadingBaseModel bool              // a load of the base model is in progress
}

func newOwnedEngine(n *Node, b settings.BackendServer, row table.Owner, ver int64) *ownedEngine {
	o := &ownedEngine{
		n: n, name: b.Name, token: row.FencingToken, takenOverAt: time.Now(),
		handoverLock: semaphore.NewWeighted(1), rowLock: semaphore.NewWeighted(1), row: row, version: ver,
		waiters: make(map[string]chan engine.Action), entryAddresses: make(map[string]string),
		times: n.commandTimesOf(b.Name), engineFenced: !b.ChecksFencing, hasFormerOwners: len(row.FormerOwners) > 0, olderGrantsFenced: b.UnloadWaitsForRequests,
	}
	o.server.Store(&b)
	o.loads, o.endLoads = context.WithCancel(n.ctx)
	o.times.waitUntil(o.takenOverAt.Add(time.Duration(row.HandoverDelayMS) * time.Millisecond))
	o.sched = engine.NewScheduler(engine.SchedulerConfig{
		Slots: b.Slots, SwapSlots: b.SwapSlots, BatchSize: b.BatchSize, NeedsIntents: !b.ChecksFencing && !b.UnloadWaitsForRequests,
		ServesBase: b.UnloadWaitsForRequests, MaxLoads: b.MaxLoads, PrefillSpeed: b.PrefillSpeed, SerialPrefill: b.PrefillSpeed > 0, TokenTime: b.TokenTime,
		ByCost: n.isByCost(), KVCapacity: b.KVCapacity,
	})
	if n.cfg.Sequencer != nil {
		o.seq = n.cfg.Sequencer(b)
		o.seq.Slots, o.seq.Model, o.seq.InUse = b.Slots, b.BaseModel, o.needsAdapter
		o.seq.CanSend, o.seq.TimeLeft, o.seq.Ending = o.canSendCommand, n.session.leaseLeft, o.loadsEnding
		for _, load := range row.LateLoads {
			// The sender's clock may be ahead or behind.
			o.times.lateLoads.Add(engine.LateLoad{ExpectedSequence: load.ExpectedSequence, SentAt: time.UnixMilli(load.SentMS).Add(lateLoadClockMargin)})
		}
		o.seq.LateLoads, o.seq.OnLateLoad = &o.times.lateLoads, o.shareLateLoads
		o.seq.OnUnanswered, o.seq.TakenOver = o.recordUnanswered, row.FencingToken > 1 && !row.LateLoadsKnown
	}
	o.sched.SetMode(time.Now(), engine.Mode{Recovering: true})
	return o
}

// backend returns the engine's settings.
func (o *ownedEngine) backend() *settings.BackendServer { return o.server.Load() }

// needsAdapter reports whether an adapter is in a slot or work waits for it.
func (o *ownedEngine) needsAdapter(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.NeedsAdapter(name)
}

// canSendCommand reports whether a load that has begun may send another command.
func (o *ownedEngine) canSendCommand() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.stopped && !o.handingOver && o.leaseAllowsCommands(time.Now())
}

// loadsEnding returns a channel that is closed once a load that has begun has to end after the
// command in flight, since the ownership or the node ends.
func (o *ownedEngine) loadsEnding() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loads.Done()
}

// expectedWait returns the expected queue wait of short work on a loaded adapter.
func (o *ownedEngine) expectedWait(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _, wait := o.sched.Stats(now)
	return wait
}

// requestCounts returns the numbers of running and waiting requests.
func (o *ownedEngine) requestCounts() (running, waiting int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, waiting, _ = o.sched.Stats(time.Now())
	return running, waiting
}

// submit queues work and waits for the grant or the refusal.
func (o *ownedEngine) submit(ctx context.Context, w engine.Work, address string) engine.Action {
	ch := make(chan engine.Action, 1)
	o.mu.Lock()
	if o.stopped || o.handingOver {
		o.mu.Unlock()
		return engine.Action{Kind: engine.Refuse, Reason: engine.NoOwner, RetryAfter: handoverPollInterval}
	}
	o.updateRateLimit(time.Now())
	o.updateOrder(time.Now())
	o.entryAddresses[w.EntryNode] = address
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
	o.apply(o.sched.Release(time.Now(), w.ID, false)) // in case it was granted after ctx ended
	return engine.Action{Kind: engine.Refuse, Reason: engine.DeadlineUnmet}
}

// release ends a grant.
func (o *ownedEngine) release(id string, adapterMissing bool, tokenTime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if tokenTime > 0 {
		o.sched.ObserveTokenTime(time.Now(), tokenTime)
	}
	o.apply(o.sched.Release(time.Now(), id, adapterMissing))
}

// apply carries out the scheduler's actions. The caller must hold o.mu.
func (o *ownedEngine) apply(acts []engine.Action) {
	for _, act := range acts {
		if act.Kind == engine.RequestLoad {
			o.n.tasks.Go(func() { o.performLoad(o.n.ctx, act.Demand) })
			continue
		}
		if ch := o.waiters[act.Work.ID]; ch != nil {
			delete(o.waiters, act.Work.ID)
			ch <- act
		}
	}
}

// mode returns the scheduler mode for the current state. The caller must hold o.mu.
func (o *ownedEngine) mode(now time.Time) engine.Mode {
	if o.backend().UnloadWaitsForRequests {
		return engine.Mode{
			Recovering: o.lastReport.IsZero() || o.seq != nil && !o.seq.ModelReady(),
			Draining:   o.draining(),
			ReadOnly:   !o.leaseAllowsCommands(now),
		}
	}
	return engine.Mode{
		Recovering: o.lastReport.IsZero() || !o.engineFenced,
		Draining:   o.draining(),
		ReadOnly:   o.hasFormerOwners || o.backend().ChecksFencing && !o.n.session.leaseValid() || !o.backend().RefusesWhenFull && now.Sub(o.takenOverAt) < maxReportAge,
		NoEvict:    !o.olderGrantsFenced,
		SwapOnly:   !o.n.tableUp.Load(),
	}
}

// leaseAllowsCommands reports whether the lease permits commands to an engine that does
// not reject those of replaced owners. The caller must hold o.mu.
func (o *ownedEngine) leaseAllowsCommands(now time.Time) bool {
	return o.n.session.leaseValid() && o.times.maySend(now)
}

func (o *ownedEngine) draining() bool { return draining(o.backend(), o.n.currentVMList()) }

// tick advances the scheduler and fetches the engine's load report when it is due.
func (o *ownedEngine) tick(ctx context.Context, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, ok := o.n.store.Tree().Backend(o.name); ok {
		o.server.Store(b)
	}
	o.updateRateLimit(now)
	o.updateOrder(now)
	o.updateReservedSlots(now)
	if m := o.mode(now); m != o.sched.Mode() {
		o.apply(o.sched.SetMode(now, m))
	} else {
		o.apply(o.sched.Tick(now))
	}
	if !o.reportPending && now.Sub(o.lastReport) > reportInterval {
		o.reportPending = true
		o.n.tasks.Go(func() { o.fetchReport(ctx) })
	}
}

// fetchReport fetches a load report and corrects the scheduler's record of the adapter
// slots.
func (o *ownedEngine) fetchReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	sent := time.Now()
	r, err := o.control().Report(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportPending = false
	if err != nil {
		o.n.log.Debug("cannot fetch the load report; retrying at the next tick", "engine", o.name, "err", err)
		return
	}
	if o.seq != nil && !o.seq.ModelReady() && !o.loadingBaseModel && o.leaseAllowsCommands(time.Now()) {
		o.loadingBaseModel = true
		o.n.tasks.Go(func() { o.loadBaseModel(ctx) })
	}
	now := time.Now()
	first := o.lastReport.IsZero()
	o.lastReport = now
	o.recordBoot(now, r.Boot)
	o.updateReservedSlots(now)
	switch {
	case first:
		o.apply(o.sched.Adopt(now, o.classifyAdapters(r.Loaded), nil))
	case o.commandsInFlight == 0 && sent.Sub(o.lastCommandEnd) > maxReportAge && !o.hasFormerOwners:
		o.apply(o.sched.Reconcile(now, r.Loaded))
	}
}

// classifyAdapters marks the reported adapters that sit in swap slots. While an earlier
// owner may still send commands, only the adapters on the stable list may be granted.
func (o *ownedEngine) classifyAdapters(loaded []string) []engine.ResidentAdapter {
	stable := make(map[string]bool, len(o.row.StableAdapters))
	for _, name := range o.row.StableAdapters {
		stable[name] = true
	}
	residents := make([]engine.ResidentAdapter, 0, len(loaded))
	for _, name := range loaded {
		swap := !o.backend().ChecksFencing && !stable[name]
		residents = append(residents, engine.ResidentAdapter{Adapter: name, Swap: swap, Locked: o.hasFormerOwners && swap})
	}
	return residents
}

// recordBoot resets the scheduler if the boot ID shows that the engine restarted
// without adapters. The caller must hold o.mu.
func (o *ownedEngine) recordBoot(now time.Time, boot string) {
	if boot == "" || boot == o.boot {
		return
	}
	if o.boot != "" {
		o.n.log.Warn("engine restarted without adapters; resetting its scheduler", "engine", o.name)
		o.apply(o.sched.Reset(now))
		o.engineFenced = !o.backend().ChecksFencing
		if !o.engineFenced {
			o.n.tasks.Go(func() { o.raiseToken(o.n.ctx) })
		}
	}
	o.boot = boot
}

// updateReservedSlots tells the scheduler how many slots its sequencer keeps free. The caller must
// hold o.mu.
func (o *ownedEngine) updateReservedSlots(now time.Time) {
	if o.seq != nil {
		o.apply(o.sched.SetReservedSlots(now, o.seq.ReservedSlots(now)))
	}
}

// lastStart returns the boot ID of the engine's last known start, and its software version if the
// engine tells it.
func (o *ownedEngine) lastStart() (boot, build string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seq != nil {
		build = o.seq.BuildOf(o.boot)
	}
	return o.boot, build
}

// loadBaseModel loads the base model into an engine that started without it.
func (o *ownedEngine) loadBaseModel(ctx context.Context) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.loadingBaseModel = false
	}()
	if !o.beginCommand() {
		return
	}
	defer o.endCommand()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), baseModelLoadTimeout)
	defer cancel()
	err := o.seq.LoadModel(ctx, o.token)
	o.n.log.Info("base model load finished", "engine", o.name, "model", o.backend().BaseModel, "err", err)
}

// control returns the functions that send commands to the engine.
func (o *ownedEngine) control() engine.Control {
	if o.seq != nil {
		return engine.Control{Load: o.seq.Load, Unload: o.seq.Unload, Report: o.seq.Report}
	}
	c := o.client()
	return engine.Control{Load: c.Load, Unload: c.Unload, Report: c.Report}
}

func (o *ownedEngine) client() *engine.Client { return o.n.newEngineClient(o.backend()) }

// beginHandover refuses new work from now on. It returns false if a handover is already
// in progress or the ownership has ended.
func (o *ownedEngine) beginHandover() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handingOver || o.stopped {
		return false
	}
	o.handingOver = true
	o.endLoads()
	o.apply(o.sched.RefuseAll(time.Now(), engine.NoOwner))
	return true
}

// isEnding reports whether the ownership has ended or may have been released.
func (o *ownedEngine) isEnding() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped || o.handingOver
}

func (o *ownedEngine) abortHandover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handingOver = false
	if !o.stopped {
		o.loads, o.endLoads = context.WithCancel(o.n.ctx)
	}
}

// releaseRow removes this node as the owner from the ownership row. If a command got no
// response, it may still take effect, so this process stays listed as a former owner.
func (o *ownedEngine) releaseRow(ctx context.Context) rowOutcome {
	o.mu.Lock()
	keepAsFormerOwner := o.commandsUnanswered > 0 && !o.backend().ChecksFencing
	o.mu.Unlock()
	return o.writeRow(ctx, func(row table.Owner) table.Owner {
		if keepAsFormerOwner {
			row.FormerOwners = append(row.WithoutFormerOwner(row.Process).FormerOwners,
				table.FormerOwner{Node: row.Node, Process: row.Process, Address: row.Address, FencingToken: row.FencingToken})
		}
		row.HandoverDelayMS = o.handoverDelay().Milliseconds()
		row.LateLoads = o.lateLoads(time.Now())
		row.LateLoadsKnown = o.seq != nil && !o.seq.MayHaveUnknownLoad(time.Now())
		row.Node, row.Process, row.Address = "", "", ""
		return row
	})
}

// stop ends the ownership: it refuses all waiting work, and no command can start.
func (o *ownedEngine) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	o.endLoads()
	o.apply(o.sched.RefuseAll(time.Now(), engine.NoOwner))
}
