package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that is granted beyond the engine's limit, or waits behind it for longer
// than it can be of use.
func TestSchedulerKeepsToTheRateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewScheduler(SchedulerConfig{ServesBase: true, BatchSize: 64})
	s.SetRateLimit(now, 4, true)
	granted, refused := 0, 0
	for i := range 300 { // 30 a second for 10 s
		now = now.Add(time.Second / 30)
		acts := s.Submit(now, Work{
			ID: string(rune('a' + i)), Short: true, ExpectedTokens: 1, Deadline: now.Add(time.Minute), FirstTokenTarget: now.Add(500 * time.Millisecond),
		})
		acts = append(acts, s.Tick(now)...)
		for _, act := range acts {
			switch act.Kind {
			case Grant:
				granted++
				is.True(now.Sub(act.Work.arrivedAt) <= 500*time.Millisecond)
			case Refuse:
				refused++
				is.Equal(act.Reason, Limited)
				is.True(act.RetryAfter >= minRetryAfter && act.RetryAfter <= time.Second)
			}
		}
	}
	is.True(granted >= 38 && granted <= 41)
	is.True(refused >= 250)
	s.SetRateLimit(now, 0, false)
	acts := s.Submit(now, Work{ID: "after", Short: true, ExpectedTokens: 1, Deadline: now.Add(time.Minute)})
	is.Equal(acts[len(acts)-1].Kind, Grant)
}

// Guards against an engine that stays idle within its limit: work that waited when the limit came
// could not be served in time, but new work was told to come back after all of it.
func TestWaitingWorkIsRefusedBeyondANewLimit(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(SchedulerConfig{})
	for i := range 5 {
		w := shortWork(string(rune('a'+i)), "x") // waits for a load
		if i != 2 {
			w.FirstTokenTarget = t0.Add(500 * time.Millisecond)
		}
		s.Submit(t0, w)
	}
	is.Equal(describe(s.SetRateLimit(t0, 0.5, true)), []string{"refuse a limited", "refuse b limited", "refuse d limited", "refuse e limited"})
	s.ApproveLoad(t0)
	is.Equal(len(s.FinishLoad(t0, LoadResult{Adapter: "x", OK: true})), 0)
	now := t0.Add(2 * time.Second)
	is.Equal(describe(s.Tick(now)), []string{"grant c"})
	w := shortWork("f", "x")
	w.FirstTokenTarget = now.Add(500 * time.Millisecond)
	acts := s.Submit(now, w)
	is.Equal(describe(acts), []string{"refuse f limited"})
	is.Equal(acts[0].RetryAfter, 2*time.Second)
	is.Equal(len(s.SetRateLimit(now, 0.5, true)), 0) // not changed
}

// Guards against a limit of 0 under which the server could never end it, and against an
// overflow of the wait.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l RateLimit
	is.True(l.CanTake(now))
	is.Equal(l.Wait(now, 1000), time.Duration(0))
	l.Set(now, 0, true)
	is.True(!l.CanTake(now.Add(24 * time.Hour)))
	is.Equal(l.Wait(now, 0), longestRateWait)
	l.Set(now, 4, true)
	is.Equal(l.Wait(now, 3), time.Second)
	now = now.Add(time.Hour)
	l.Take(now)
	is.True(l.CanTake(now))
	l.Take(now)
	is.True(!l.CanTake(now))
	l.Take(now) // beyond the limit
	is.Equal(l.Wait(now, 0), 500*time.Millisecond)
}

// Guards against a wait that ends before its request may be sent, so that it is asked for
// again and again at the same time.
func TestRateWaitIsLongEnough(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, perSecond := range []float64{0.1, 0.3, 3.6, 7, 33.3, 3000} {
		var l RateLimit
		l.Set(now, perSecond, true)
		for range 1000 {
			wait := l.Wait(now, 0)
			is.Equal(wait == 0, l.CanTake(now))
			now = now.Add(wait)
			if l.CanTake(now) {
				l.Take(now)
				continue
			}
			is.True(l.Wait(now, 0) >= shortestRateWait)
		}
	}
}
