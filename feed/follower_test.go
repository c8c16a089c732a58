package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/table"
)

// source is a store with one table.
type source struct {
	version int64
	rows    map[string]int64
	log     []table.ChangedRow
	kept    int64 // changes after this version are known
	down    bool
	silent  bool
	calls   int
}

func (s *source) put(key string) {
	s.version++
	s.rows[key] = s.version
	s.log = append(s.log, table.ChangedRow{Row: table.Row{Key: key, Version: s.version}})
}

func (s *source) all(context.Context, string) ([]table.Row, int64, error) {
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
	s.calls++
	if s.silent {
		<-ctx.Done()
		return table.Changes{}, ctx.Err()
	}
	end := time.Now().Add(wait)
	for {
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
		if len(ch.Rows) > 0 || !time.Now().Before(end) {
			return ch, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		src := &source{rows: map[string]int64{}}
		src.put("a")
		seen := map[string]int64{}
		resets, ups, downs := 0, 0, 0
		note := func(r table.Row) { seen[r.Key] = r.Version }
		f := &Follower{
			Table: "t", All: src.all, Next: src.next, Wait: 2 * time.Second, Answer: time.Second,
			Pace: 100 * time.Millisecond, Retry: 100 * time.Millisecond, MaxRetry: time.Second,
			Reset: func(rows []table.Row) {
				resets++
				for _, r := range rows {
					note(r)
				}
			},
			Apply: func(ch table.Changes) {
				for _, r := range ch.Rows {
					note(r.Row)
				}
			},
			Down: func(error) { downs++ },
			Up:   func() { ups++ },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		is.Equal(seen["a"], int64(1))
		src.put("b")
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen["b"], int64(2))

		src.silent = true // the connection goes silent without breaking
		time.Sleep(4 * time.Second)
		src.silent = false
		src.put("c")
		time.Sleep(2 * time.Second)
		is.Equal(seen["c"], int64(3))
		is.Equal(downs, 1)
		is.Equal(ups, 1)

		src.down = true // history is lost during an outage
		time.Sleep(3 * time.Second)
		src.put("d")
		src.kept, src.log = src.version, nil
		src.down = false
		time.Sleep(3 * time.Second)
		is.Equal(seen["d"], int64(4))
		is.Equal(resets, 2)
		is.Equal(ups, 2)

		before := src.calls
		time.Sleep(20 * time.Second)
		is.True(src.calls-before <= 11) // a quiet feed costs one call a wait
		cancel()
		<-done
	})
}
