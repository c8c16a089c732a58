// Package feed keeps a copy of one table of the platform's store up to date by
// its feed of changes.
//
// # Usage
//
//	f := &feed.Follower{Table: "servers", All: store.All, Next: store.Feed, Reset: reset, Apply: apply, ...}
//	f.Run(ctx)
//
// A follower reads the whole table first, then asks for what changed since. It
// reads the whole table again when the store no longer knows the changes. A
// call that is not answered in time is given up, since a connection may go
// silent without breaking.
//
// # Not covered
//
// The follower does not know what the rows mean, and keeps none.
package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// Follower follows one table. Set the fields before [Follower.Run].
type Follower struct {
	Table string
	// ReadAll reads the whole table; Next waits for changes after a version.
	ReadAll     func(ctx context.Context, name string) ([]table.Row, int64, error)
	ReadChanges func(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error)
	// Reset takes a whole reading, Apply the changes since the last call of
	// either. They run in the goroutine of Run.
	Reset func(rows []table.Row)
	Apply func(changes table.Changes)
	// OnDown and Up are told when the store stops and starts answering.
	OnDown func(err error)
	OnUp   func()
	// PollWait is how long the store holds a question open; Answer is how much later
	// the answer may come.
	PollWait        time.Duration
	ResponseTimeout time.Duration
	// MinInterval is the shortest time between two questions.
	MinInterval time.Duration
	// RetryDelay is the pause after a failure, at first; it doubles up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration

	version int64
	read    bool
	down    bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := f.RetryDelay
	for ctx.Err() == nil {
		start := time.Now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			if !f.down {
				f.down = true
				f.OnDown(err)
			}
			sleep(ctx, jitter(retry))
			retry = min(2*retry, f.MaxRetryDelay)
			continue
		}
		if f.down {
			f.down = false
			f.OnUp()
		}
		retry = f.RetryDelay
		sleep(ctx, f.MinInterval-time.Since(start))
	}
}

// step asks the store once.
func (f *Follower) step(ctx context.Context) error {
	if !f.read {
		ctx, cancel := context.WithTimeout(ctx, f.ResponseTimeout)
		defer cancel()
		rows, version, err := f.ReadAll(ctx, f.Table)
		if err != nil {
			return err
		}
		f.version, f.read = version, true
		f.Reset(rows)
		return nil
	}
	wait := f.PollWait
	if f.down {
		wait = 0 // hear soon that the store is back
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.ResponseTimeout)
	defer cancel()
	changes, err := f.ReadChanges(ctx, f.Table, f.version, wait)
	if table.IsKind(err, table.HistoryLost) || err == nil && changes.Version < f.version {
		f.read = false // a gap: the whole table tells what was missed
		return f.step(ctx)
	}
	if err != nil {
		return err
	}
	f.version = changes.Version
	if len(changes.Rows) > 0 {
		f.Apply(changes)
	}
	return nil
}

// jitter spreads the nodes' calls after an outage.
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
