package feed

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/table"
)

// source is a store with one table.
type source struct {
	mu      sync.Mutex // guards all fields
	version int64
	rows    map[string]int64
	log     []table.ChangedRow
	kept    int64 // changes after this version are known
	down    bool
	silent  bool
	calls   int
}

// set changes the store.
func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// put writes a row. The lock is held.
func (s *source) put(key string) {
	s.version++
	s.rows[key] = s.version
	s.log = append(s.log, table.ChangedRow{Row: table.Row{Key: key, Version: s.version}})
}

func (s *source) all(context.Context, string) ([]table.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("down")
	}
	var rows []table.Row
	for key, v := range s.rows {
		rows = append(rows, table.Row{Key: key, Version: v})
	}
	return rows, s.version, nil
}

func (s *source) next(ctx context.Context, _ string, after int64, wait time.Duration) (table.Changes, error) {
	s.mu.Lock()
	s.calls++
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return table.Changes{}, ctx.Err()
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if ch, err := s.since(after); err != nil || len(ch.Rows) > 0 || !time.Now().Before(end) {
			return ch, err
		}
	}
}

func (s *source) since(after int64) (table.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return table.Changes{}, errors.New("down")
	case after < s.kept:
		return table.Changes{}, &table.Error{Op: "feed", Kind: table.HistoryLost}
	}
	ch := table.Changes{Version: s.version}
	for _, r := range s.log {
		if r.Version > after {
			ch.Rows = append(ch.Rows, r)
		}
	}
	return ch, nil
}

// sink records what a follower reports.
type sink struct {
	mu                 sync.Mutex
	seen               map[string]int64
	resets, ups, downs int
}

func (s *sink) reset(rows []table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
	for _, r := range rows {
		s.seen[r.Key] = r.Version
	}
}

func (s *sink) apply(ch table.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ch.Rows {
		s.seen[r.Key] = r.Version
	}
}

func (s *sink) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *sink) version(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[key]
}

func (s *sink) counts() (resets, ups, downs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resets, s.ups, s.downs
}

func newFollower(src *source, out *sink) *Follower {
	return &Follower{
		Table: "t", ReadAll: src.all, ReadChanges: src.next, ResponseTimeout: time.Second, RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second,
		Reset: out.reset, Apply: out.apply,
		OnDown: func(error) { out.count(&out.downs) }, OnUp: func() { out.count(&out.ups) },
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
		src := &source{rows: map[string]int64{}}
		src.put("a")
		out := &sink{seen: map[string]int64{}}
		f := newFollower(src, out)
		f.PollWait, f.MinInterval = 2*time.Second, 100*time.Millisecond
		stop := run(f)
		time.Sleep(50 * time.Millisecond)
		is.Equal(out.version("a"), int64(1))
		src.set(func() { src.put("b") })
		time.Sleep(200 * time.Millisecond)
		is.Equal(out.version("b"), int64(2))

		src.set(func() { src.silent = true }) // the connection goes silent without breaking
		time.Sleep(4 * time.Second)
		src.set(func() {
			src.silent = false
			src.put("c")
		})
		time.Sleep(2 * time.Second)
		is.Equal(out.version("c"), int64(3))
		_, ups, downs := out.counts()
		is.Equal(downs, 1)
		is.Equal(ups, 1)

		src.set(func() { src.down = true }) // history is lost during an outage
		time.Sleep(3 * time.Second)
		src.set(func() {
			src.put("d")
			src.kept, src.log = src.version, nil
			src.down = false
		})
		time.Sleep(3 * time.Second)
		is.Equal(out.version("d"), int64(4))
		resets, ups, _ := out.counts()
		is.Equal(resets, 2)
		is.Equal(ups, 2)

		calls := func() (n int) {
			src.set(func() { n = src.calls })
			return n
		}
		before := calls()
		time.Sleep(20 * time.Second)
		is.True(calls()-before <= 11) // a quiet feed costs one call a wait
		stop()
	})
}

// A change that falls into a gap of the history is seen as soon as any other: a
// follower that keeps a pace must not spend it twice, first on hearing of the
// gap and then on reading the table.
func TestGapCostsNoPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := &source{rows: map[string]int64{}}
		src.put("a")
		out := &sink{seen: map[string]int64{}}
		f := newFollower(src, out)
		f.MinInterval = 1200 * time.Millisecond
		stop := run(f)
		time.Sleep(2 * time.Second)
		src.set(func() {
			src.put("b")
			src.kept, src.log = src.version, nil
		})
		time.Sleep(f.MinInterval)
		is.Equal(out.version("b"), int64(2))
		stop()
	})
}
