package feed

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/table"
)

// stubTable is a store with one table.
type stubTable struct {
	mu           sync.Mutex // guards all fields
	version      int64
	generation   int64
	rows         map[string]int64
	changes      []table.ChangedRow
	historyStart int64           // changes after this version are available
	stale        *table.Snapshot // if set, complete reads return it
	down         bool
	hangs        bool
	calls        int
}

// update modifies the store under its lock.
func (s *stubTable) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// putRow writes a row. The caller must hold the lock.
func (s *stubTable) putRow(key string) {
	s.version++
	s.rows[key] = s.version
	s.changes = append(s.changes, table.ChangedRow{Row: table.Row{Key: key, Version: s.version}})
}

func (s *stubTable) readAll(context.Context, string) (table.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return table.Snapshot{}, errors.New("down")
	}
	if s.stale != nil {
		return *s.stale, nil
	}
	all := table.Snapshot{Version: s.version, Generation: s.generation}
	for key, v := range s.rows {
		all.Rows = append(all.Rows, table.Row{Key: key, Version: v})
	}
	return all, nil
}

func (s *stubTable) readChanges(ctx context.Context, _ string, after int64, wait time.Duration) (table.Changes, error) {
	s.mu.Lock()
	s.calls++
	hangs := s.hangs
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return table.Changes{}, ctx.Err()
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if ch, err := s.changesAfter(after); err != nil || len(ch.Rows) > 0 || !time.Now().Before(end) {
			return ch, err
		}
	}
}

func (s *stubTable) changesAfter(after int64) (table.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return table.Changes{}, errors.New("down")
	case after < s.historyStart:
		return table.Changes{}, &table.Error{Op: "feed", Kind: table.HistoryLost}
	}
	ch := table.Changes{Version: s.version, Generation: s.generation, StoreTime: time.Duration(time.Now().UnixNano())}
	for _, r := range s.changes {
		if r.Version > after {
			ch.Rows = append(ch.Rows, r)
		}
	}
	return ch, nil
}

// recorder records the calls of a follower.
type recorder struct {
	mu                 sync.Mutex
	versions           map[string]int64
	resets, ups, downs int
}

func (s *recorder) reset(snapshot table.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
	for _, r := range snapshot.Rows {
		s.versions[r.Key] = r.Version
	}
}

func (s *recorder) apply(ch table.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ch.Rows {
		s.versions[r.Key] = r.Version
	}
}

func (s *recorder) increment(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *recorder) version(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[key]
}

func (s *recorder) counts() (resets, ups, downs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resets, s.ups, s.downs
}

func newFollower(tbl *stubTable, rec *recorder) *Follower {
	return &Follower{
		Table: "t", ReadAll: tbl.readAll, ReadChanges: tbl.readChanges, ResponseTimeout: time.Second, RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second,
		Reset: rec.reset, Apply: rec.apply,
		OnDown: func(error) { rec.increment(&rec.downs) }, OnUp: func() { rec.increment(&rec.ups) },
	}
}

// run starts a follower; stop ends it.
func run(f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.PollWait, f.MinInterval = 2*time.Second, 100*time.Millisecond
		stop := run(f)
		time.Sleep(50 * time.Millisecond)
		is.Equal(rec.version("a"), int64(1))
		tbl.update(func() { tbl.putRow("b") })
		time.Sleep(200 * time.Millisecond)
		is.Equal(rec.version("b"), int64(2))

		tbl.update(func() { tbl.hangs = true }) // the connection hangs without an error
		time.Sleep(4 * time.Second)
		tbl.update(func() {
			tbl.hangs = false
			tbl.putRow("c")
		})
		time.Sleep(2 * time.Second)
		is.Equal(rec.version("c"), int64(3))
		_, ups, downs := rec.counts()
		is.Equal(downs, 1)
		is.Equal(ups, 1)

		tbl.update(func() { tbl.down = true }) // history is lost during an outage
		time.Sleep(3 * time.Second)
		tbl.update(func() {
			tbl.putRow("d")
			tbl.historyStart, tbl.changes = tbl.version, nil
			tbl.down = false
		})
		time.Sleep(3 * time.Second)
		is.Equal(rec.version("d"), int64(4))
		resets, ups, _ := rec.counts()
		is.Equal(resets, 2)
		is.Equal(ups, 2)

		calls := func() (n int) {
			tbl.update(func() { n = tbl.calls })
			return n
		}
		before := calls()
		time.Sleep(20 * time.Second)
		is.True(calls()-before <= 11) // at most one call per PollWait if nothing changes
		stop()
	})
}

// When the store has lost its history, a change must be seen as soon as any
// other. A follower that waited for MinInterval both after the failed poll and
// before reading the table would see it one interval late.
func TestLostHistoryAddsNoDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.MinInterval = 1200 * time.Millisecond
		stop := run(f)
		time.Sleep(2 * time.Second)
		tbl.update(func() {
			tbl.putRow("b")
			tbl.historyStart, tbl.changes = tbl.version, nil
		})
		time.Sleep(f.MinInterval)
		is.Equal(rec.version("b"), int64(2))
		stop()
	})
}

// Guards against rows of before a restore that stay in use. The store gives out versions
// again, so a follower that was away meanwhile finds its own version in use by others.
func TestRestoredTableIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		tbl.putRow("lost")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.MinInterval = 100 * time.Millisecond
		stop := run(f)
		time.Sleep(time.Second)
		tbl.update(func() {
			tbl.version, tbl.changes = 1, tbl.changes[:1]
			delete(tbl.rows, "lost")
			tbl.putRow("b")
			tbl.putRow("c")
			tbl.generation++
		})
		time.Sleep(time.Second)
		is.Equal(rec.version("b"), int64(2))
		is.Equal(rec.version("c"), int64(3))
		resets, _, _ := rec.counts()
		is.Equal(resets, 2)
		stop()
	})
}

// Guards against calls without a delay while complete reads are older than the history that
// the store keeps. They use up the calls that all nodes share.
func TestOutdatedReadsAreNotRepeatedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.PollWait = time.Second
		stop := run(f)
		time.Sleep(100 * time.Millisecond)
		tbl.update(func() {
			tbl.stale = &table.Snapshot{Version: tbl.version, Rows: []table.Row{{Key: "a", Version: 1}}}
			tbl.putRow("b")
			tbl.historyStart, tbl.changes, tbl.calls = tbl.version, nil, 0
		})
		time.Sleep(5 * time.Second)
		tbl.update(func() {
			is.True(tbl.calls <= 40) // of 10,000 at one a call of half a millisecond
			tbl.stale = nil
		})
		time.Sleep(f.MaxRetryDelay * 3 / 2)
		is.Equal(rec.version("b"), int64(2))
		stop()
	})
}

// Guards against changes that are seen late, since the store's response to a poll is lost on a connection
// that stays open, and is awaited for as long as that to any other call.
func TestPollWithoutResponseIsSentAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.PollWait, f.PollGrace, f.ResponseTimeout = 2*time.Second, 300*time.Millisecond, 5*time.Second
		stop := run(f)
		time.Sleep(time.Second)
		tbl.update(func() { tbl.hangs = true })
		time.Sleep(1500 * time.Millisecond) // the second poll hangs since 0.5 s
		tbl.update(func() {
			tbl.hangs = false
			tbl.putRow("b")
		})
		time.Sleep(f.PollWait + f.PollGrace - 500*time.Millisecond + time.Millisecond)
		is.Equal(rec.version("b"), int64(2))
		stop()
	})
}

// Guards against rows of a complete read that is out of date, which stay in use for an interval
// although the changes since are to be had.
func TestCompleteReadIsProvedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		tbl.stale = &table.Snapshot{Version: 1, Rows: []table.Row{{Key: "a", Version: 1}}}
		tbl.putRow("b")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.MinInterval = 2 * time.Second
		stop := run(f)
		time.Sleep(100 * time.Millisecond)
		is.Equal(rec.version("b"), int64(2))
		stop()
	})
}

// Guards against an age that hides what was missed: it must count from when the store answered a
// poll, not from when the response came, and never from a complete read alone.
func TestAgeOfWhatAFollowerKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.PollWait, f.Clock = 2*time.Second, clock.Virtual()
		const delay = 3 * time.Millisecond // of responses
		f.ReadChanges = func(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
			defer time.Sleep(delay)
			return tbl.readChanges(ctx, name, after, wait)
		}
		is.True(f.CurrentAt().IsZero())
		stop := run(f)
		start := time.Now()
		time.Sleep(time.Second)
		is.Equal(f.CurrentAt(), start)
		time.Sleep(2*time.Second + 5*time.Millisecond) // between two looks of the store, 10 ms apart
		is.Equal(f.CurrentAt(), start.Add(delay+f.PollWait))
		tbl.update(func() { tbl.putRow("b") })
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.CurrentAt(), start.Add(3*time.Second+2*delay)) // when the store answered the poll that brought the row
		tbl.update(func() { tbl.down = true })
		time.Sleep(10 * time.Second)
		is.True(!f.CurrentAt().After(start.Add(5*time.Second + 100*time.Millisecond))) // when the last poll was answered
		stop()
	})
}

// Guards against a follower that takes itself for current while it waits for what the store has answered
// with, and against one that takes an unavailable store for changes that it misses.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tbl := &stubTable{rows: map[string]int64{}}
		tbl.putRow("a")
		rec := &recorder{versions: map[string]int64{}}
		f := newFollower(tbl, rec)
		f.PollWait, f.Clock = 2*time.Second, clock.Virtual()
		var arrival time.Duration // of a response that holds rows, from its beginning
		f.ReadChanges = func(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
			ch, err := tbl.readChanges(ctx, name, after, wait)
			if err == nil {
				table.Progress(ctx)
			}
			if len(ch.Rows) > 0 {
				for range arrival / (100 * time.Millisecond) {
					time.Sleep(100 * time.Millisecond)
					table.Progress(ctx)
				}
			}
			return ch, err
		}
		defer run(f)()
		time.Sleep(10 * time.Second)
		is.Equal(f.Behind(), time.Duration(0)) // the store holds a poll

		arrival = 3 * time.Second // longer than a call without any progress may take
		tbl.update(func() { tbl.putRow("b") })
		time.Sleep(time.Second)
		tbl.update(func() { tbl.putRow("c") })
		time.Sleep(1500 * time.Millisecond)
		is.True(f.Behind() > 2400*time.Millisecond && f.Behind() <= 2500*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(rec.version("b"), int64(2))
		is.Equal(rec.version("c"), int64(0))
		is.True(f.Behind() > 3400*time.Millisecond) // since the response with b, which may lack c
		time.Sleep(3 * time.Second)
		is.Equal(rec.version("c"), int64(3))
		time.Sleep(time.Second)
		is.Equal(f.Behind(), time.Duration(0))

		tbl.update(func() { tbl.putRow("d") })
		time.Sleep(time.Second)
		tbl.update(func() { tbl.hangs = true })
		time.Sleep(2500 * time.Millisecond) // the follower has d and asks what it missed meanwhile
		is.True(f.Behind() > 3*time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(f.Behind(), time.Duration(0)) // nobody reads changes
		tbl.update(func() { tbl.hangs = false })
		time.Sleep(5 * time.Second)
		is.Equal(f.Behind(), time.Duration(0))
	})
}
