package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playLoads offers one request for a new adapter every 25 ms, where four loads of
// 250 ms at once allow 16 a second, after a burst of 40. It returns how many of
// those after the burst had their adapter within the aim.
func playLoads(aim bool) (inAim, asked int) {
	const step = 5 * time.Millisecond
	s := NewScheduler(SchedulerConfig{Slots: 1000, BatchSize: 1000, MaxLoads: 4, LoadTime: 250 * time.Millisecond})
	type end struct {
		at  time.Time
		res LoadResult
	}
	var ends []end
	offered := map[string]time.Time{}
	now := t0
	var apply func(acts []Action)
	apply = func(acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case RequestLoad:
				if l, ok := s.ApproveLoad(now); ok {
					ends = append(ends, end{now.Add(250 * time.Millisecond), LoadResult{Adapter: l.Adapter, Victim: l.Victim, OK: true}})
				}
			case Grant:
				if at, late := offered[a.Work.ID]; late && now.Sub(at) <= 500*time.Millisecond {
					inAim++
				}
			}
		}
	}
	submit := func(id string) {
		w := shortWork(id, "a"+id)
		w.Deadline, w.FirstTokenDeadline = now.Add(6*time.Second), now.Add(2*time.Second)
		if aim {
			w.FirstTokenTarget = now.Add(500 * time.Millisecond)
		}
		apply(s.Submit(now, w))
	}
	for i := range 40 {
		submit(fmt.Sprint("burst", i))
	}
	for now.Sub(t0) < 10*time.Second {
		now = now.Add(step)
		for len(ends) > 0 && !now.Before(ends[0].at) {
			e := ends[0]
			ends = ends[1:]
			apply(s.FinishLoad(now, e.res))
		}
		if now.Sub(t0)%(25*time.Millisecond) == 0 {
			id := fmt.Sprint(now.Sub(t0))
			offered[id] = now
			asked++
			submit(id)
		}
		apply(s.Tick(now))
	}
	return inAim, asked
}

// With more loads wanted than can be had, the loads go to work that still meets
// its aim, so that the callers who can be served well are.
func TestLoadsGoWhereTheAimCanBeMet(t *testing.T) {
	is := is.New(t)
	inAim, asked := playLoads(true)
	byAge, _ := playLoads(false)
	t.Logf("%d of %d within the aim; by age %d", inAim, asked, byAge)
	const possible = 16 * 10 // loads in the time played
	is.True(inAim*100 >= possible*85)
	is.True(inAim > byAge)
}

// Prompts that were granted hold up the next one, so a burst is told its wait.
func TestPromptsAreReadInTurn(t *testing.T) {
	is := is.New(t)
	s := holding(SchedulerConfig{Slots: 2, BatchSize: 64, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond}, "a")
	work := func(id string, wait time.Duration) Work {
		w := shortWork(id, "a")
		w.PromptTokens, w.MaxWait = 4000, wait // 100 ms to read
		return w
	}
	is.Equal(describe(s.Submit(t0, work("r1", 50*time.Millisecond))), []string{"grant r1"})
	is.Equal(describe(s.Submit(t0, work("r2", 50*time.Millisecond))), []string{"refuse r2 overflow"})
	is.Equal(describe(s.Submit(t0.Add(60*time.Millisecond), work("r3", 50*time.Millisecond))), []string{"grant r3"})
	_, _, wait := s.Stats(t0.Add(60 * time.Millisecond))
	is.Equal(wait, 140*time.Millisecond)
	// The time between tokens grows while prompts are read; the time to read does not.
	for range 100 {
		s.ObserveTokenTime(t0.Add(time.Second), 50*time.Millisecond)
	}
	is.Equal(describe(s.Submit(t0.Add(time.Second), work("r4", 0))), []string{"grant r4"})
	_, _, wait = s.Stats(t0.Add(time.Second))
	is.Equal(wait, 100*time.Millisecond)
}

// Work whose caller gives up before the first token is refused at once.
func TestWorkThatNobodyWaitsForIsRefused(t *testing.T) {
	is := is.New(t)
	s := holding(SchedulerConfig{Slots: 2, BatchSize: 64, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond}, "a")
	long := shortWork("long", "a")
	long.PromptTokens = 80_000 // two seconds to read
	s.Submit(t0, long)
	w := shortWork("r", "a")
	w.FirstTokenDeadline = t0.Add(time.Second)
	is.Equal(describe(s.Submit(t0, w)), []string{"refuse r too-late"})
}

// A new owner keeps what it finds before what is loaded for one request.
func TestAdoptedAdaptersStay(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(SchedulerConfig{Slots: 2, BatchSize: 4})
	s.Adopt(t0, []ResidentAdapter{{Adapter: "found"}}, nil)
	for _, name := range []string{"x", "y"} {
		s.Submit(t0, shortWork(name, name))
		l, ok := s.ApproveLoad(t0)
		is.True(ok)
		is.True(l.Victim != "found")
		s.FinishLoad(t0, LoadResult{Adapter: name, Victim: l.Victim, OK: true})
		s.Release(t0, name, false)
	}
}

// The base model itself takes no slot and is never evicted.
func TestBaseServes(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(SchedulerConfig{Slots: 1, BatchSize: 4, ServesBase: true})
	is.Equal(describe(s.Submit(t0, shortWork("b", ""))), []string{"grant b"})
	s.Release(t0, "b", false)
	for _, name := range []string{"x", "y"} {
		is.Equal(describe(s.Submit(t0, shortWork(name, name))), []string{"ask-load"})
		l, ok := s.ApproveLoad(t0)
		is.True(ok)
		s.FinishLoad(t0, LoadResult{Adapter: name, Victim: l.Victim, OK: true})
		s.Release(t0, name, false)
	}
	s.Reset(t0)
	is.Equal(describe(s.Submit(t0, shortWork("b2", ""))), []string{"grant b2"})
}
