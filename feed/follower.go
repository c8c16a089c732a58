// Package feed follows the change feed of one table in the platform's store.
//
// # Usage
//
//	f := &feed.Follower{Table: "servers", ReadAll: store.ReadTable, ReadChanges: store.WaitChanges, Reset: reset, Apply: apply, ...}
//	f.Run(ctx)
//
// A follower reads the complete table first, and then polls for changes since
// that version. It reads the complete table again if the store no longer has
// those changes, if they are longer than the table, or if the store was restored from a copy and gives
// out versions again. While complete
// reads are older than the changes that the store keeps, it retries as after a failure. Every
// call has a timeout, since a connection may hang without an error.
//
// # Not covered
//
// The follower neither interprets nor stores rows.
package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// promptAge is the age of what a follower knows from which on the store may have changes that
	// are not on their way: far above the time of a call.
	promptAge = 300 * time.Millisecond
	// outageAfter is the time without a response, in response timeouts, after which the store is taken for
	// unavailable to all.
	outageAfter = 2
)

// Follower follows one table. Set the fields before [Follower.Run].
type Follower struct {
	Table string
	// ReadAll reads the complete table. ReadChanges waits for changes after a
	// version.
	ReadAll     func(ctx context.Context, name string) (table.Snapshot, error)
	ReadChanges func(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error)
	// Reset is called with the complete table, and Apply with the changes
	// since the last call of either. They run in the goroutine of Run.
	Reset func(snapshot table.Snapshot)
	Apply func(changes table.Changes)
	// OnDown is called when the store stops responding, and OnUp when it
	// responds again.
	OnDown func(err error)
	OnUp   func()
	// OnReadAgain, which is optional, is called before the complete table is read again,
	// with the version that the follower had and the reason.
	OnReadAgain func(version int64, reason string)
	// OnRead, which is optional, is called when rows have been passed on.
	OnRead func(r Read)
	// PollWait is how long the store waits for a change before it responds, and PollGrace
	// how long its response may take then (0 means ResponseTimeout). After that the follower polls again at once, without
	// a wait. ResponseTimeout is the time allowed for the response to a call without a wait.
	PollWait        time.Duration
	PollGrace       time.Duration
	ResponseTimeout time.Duration
	// MinInterval is the shortest time between two polls.
	MinInterval time.Duration
	// RetryDelay is the delay after the first failure. It doubles with each
	// further failure, up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	Clock         clock.Clock

	current    atomic.Pointer[time.Time] // see CurrentAt
	missing    atomic.Pointer[time.Time] // see Behind
	downSince  atomic.Pointer[time.Time] // nil while the store responds
	version    int64
	generation int64         // in which the version was read
	storeTime  time.Duration // of the last response to a poll; 0 if it is not stated
	synced     bool
	unproved   bool // no changes were read since the last complete read
	overdue    bool // the store should have ended the last poll, and no response came
	down       bool
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	delay := f.RetryDelay
	for ctx.Err() == nil {
		start := time.Now()
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			if !f.down {
				f.down = true
				now := f.Clock.Boot()
				f.downSince.Store(&now)
				f.OnDown(err)
			}
			if f.overdue {
				f.overdue = false
				continue // its connection may have gone silent
			}
			sleep(ctx, jitter(delay))
			delay = min(2*delay, f.MaxRetryDelay)
			continue
		}
		if f.unproved {
			continue // the complete read may be out of date
		}
		if f.down {
			f.down = false
			f.downSince.Store(nil)
			f.OnUp()
		}
		delay = f.RetryDelay
		sleep(ctx, f.MinInterval-time.Since(start))
	}
}

// poll reads the table, or its changes, once.
func (f *Follower) poll(ctx context.Context) error {
	if !f.synced {
		ctx, cancel := f.startCall(ctx, f.ResponseTimeout, func() {})
		defer cancel()
		sent := f.Clock.Boot()
		snapshot, err := f.ReadAll(ctx, f.Table)
		if err != nil {
			return err
		}
		f.version, f.generation, f.synced = snapshot.Version, snapshot.Generation, true
		f.unproved = true
		r := Read{Version: snapshot.Version, Rows: len(snapshot.Rows), Complete: true, StoreTime: snapshot.StoreTime}
		f.passOn(sent, r, func() { f.Reset(snapshot) })
		return nil
	}
	sent := f.Clock.Boot()
	wait, timeout := f.PollWait, f.PollWait+cmp.Or(f.PollGrace, f.ResponseTimeout)
	if f.down || f.unproved || f.expectChanges(sent) {
		wait = 0 // tells early that the store is available, or what was missed
	}
	if wait == 0 {
		timeout = f.ResponseTimeout
	}
	pollCtx, cancel := f.startCall(ctx, timeout, func() {
		// The store ends a poll that it holds as soon as there is a change.
		f.miss(f.Clock.Boot())
	})
	defer cancel()
	before := f.missing.Load()
	changes, err := f.ReadChanges(pollCtx, f.Table, f.version, wait)
	if err != nil {
		f.missing.Store(before) // the response need not have held changes
	}
	f.overdue = wait > 0 && err != nil && pollCtx.Err() != nil
	if reason := f.incompleteReason(changes, err); reason != "" {
		f.synced = false
		if f.OnReadAgain != nil {
			f.OnReadAgain(f.version, reason)
		}
		if f.unproved && !table.IsKind(err, table.TooLong) {
			return &table.Error{Op: "follow", Kind: table.Unavailable, Key: f.Table, Err: errors.New("complete reads are out of date: " + reason)}
		}
		return f.poll(ctx)
	}
	if err != nil {
		return err
	}
	f.version, f.unproved = changes.Version, false
	answered := f.earliestAnswer(sent, f.Clock.Boot(), wait, changes)
	if wait > 0 {
		f.miss(answered)
	}
	if len(changes.Rows) > 0 {
		f.passOn(sent, Read{Version: changes.Version, Rows: len(changes.Rows), StoreTime: changes.StoreTime}, func() { f.Apply(changes) })
	}
	f.storeTime = changes.StoreTime
	f.current.Store(&answered)
	f.missing.Store(nil)
	f.expectChanges(f.Clock.Boot())
	return nil
}

// expectChanges reports whether the store may have changes that the follower should have read by now,
// and records since when.
func (f *Follower) expectChanges(now time.Time) bool {
	at := f.current.Load()
	if f.down || at == nil || now.Sub(*at) <= promptAge {
		return false
	}
	f.miss(*at)
	return true
}

// miss records that changes since a time have not been passed on, unless earlier ones have not either.
func (f *Follower) miss(at time.Time) {
	if old := f.missing.Load(); old == nil || at.Before(*old) {
		f.missing.Store(&at)
	}
}

// Behind returns the time since when changes have not been passed on that the store has answered with, or is
// about to. It is 0 if the follower has no reason to expect any, and while the store does not respond:
// what others know is no newer then. Unlike the time since [Follower.CurrentAt], it does not grow while the
// store holds a poll.
func (f *Follower) Behind() time.Duration {
	at := f.missing.Load()
	if at == nil {
		return 0
	}
	now := f.Clock.Boot()
	if down := f.downSince.Load(); down != nil && now.Sub(*down) > outageAfter*f.ResponseTimeout {
		return 0
	}
	return now.Sub(*at)
}

// earliestAnswer returns the earliest time at which the store can have sent the response to a poll:
// after the poll was sent, after the wait if there was no change, and after the last response by as
// much as the store's clock has gone on since.
func (f *Follower) earliestAnswer(sent, received time.Time, wait time.Duration, changes table.Changes) time.Time {
	after := time.Duration(0) // the poll was sent
	if len(changes.Rows) == 0 {
		after = wait
	}
	if last := f.CurrentAt(); !last.IsZero() && f.storeTime > 0 {
		after = max(after, last.Sub(sent)+changes.StoreTime-f.storeTime)
	}
	return sent.Add(min(after, received.Sub(sent)))
}

// CurrentAt returns the time, on the clock that goes on while the VM is suspended, up to which all
// changes have been passed on. It is zero until the first poll for changes has been answered,
// since a complete read may be out of date.
func (f *Follower) CurrentAt() time.Time {
	if at := f.current.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// passOn passes rows on, which a call that was sent at the given time has brought.
func (f *Follower) passOn(sent time.Time, r Read, apply func()) {
	received := f.Clock.Boot()
	if at := f.CurrentAt(); !at.IsZero() {
		r.Age = sent.Sub(at)
	}
	apply()
	if f.OnRead != nil {
		r.Elapsed, r.ApplyTime = received.Sub(sent), f.Clock.Boot().Sub(received)
		f.OnRead(r)
	}
}

// incompleteReason returns why changes may be missing in a response, or "".
func (f *Follower) incompleteReason(changes table.Changes, err error) string {
	switch {
	case table.IsKind(err, table.HistoryLost):
		return "the store no longer has the changes"
	case table.IsKind(err, table.TooLong):
		return "the changes are longer than the table"
	case err != nil:
		return ""
	case changes.Generation != f.generation:
		return "the store was restored"
	case changes.Version < f.version:
		return "the store's version went back"
	}
	return ""
}

// jitter returns a random delay between d/2 and 3d/2, so that the nodes do not
// all call the store at once after an outage.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
