package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateLoads offers a burst of 40 requests and then one request for a new
// adapter every 25 ms, while four concurrent loads of 250 ms allow only 16 loads
// per second. It returns the number of requests after the burst, and how many of
// them were granted within the target time.
func simulateLoads(withTarget bool) (onTarget, offeredCount int) {
	const step = 5 * time.Millisecond
	s := NewScheduler(SchedulerConfig{Slots: 1000, BatchSize: 1000, MaxLoads: 4, LoadTime: 250 * time.Millisecond})
	type end struct {
		at  time.Time
		res LoadResult
	}
	var pending []end
	offered := map[string]time.Time{}
	now := t0
	var apply func(acts []Action)
	apply = func(acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case RequestLoad:
				if l, ok := s.ApproveLoad(now); ok {
					pending = append(pending, end{now.Add(250 * time.Millisecond), LoadResult{Adapter: l.Adapter, Victim: l.Victim, OK: true}})
				}
			case Grant:
				if at, counted := offered[a.Work.ID]; counted && now.Sub(at) <= 500*time.Millisecond {
					onTarget++
				}
			}
		}
	}
	submit := func(id string) {
		w := shortWork(id, "a"+id)
		w.Deadline, w.FirstTokenDeadline = now.Add(6*time.Second), now.Add(2*time.Second)
		if withTarget {
			w.FirstTokenTarget = now.Add(500 * time.Millisecond)
		}
		apply(s.Submit(now, w))
	}
	for i := range 40 {
		submit(fmt.Sprint("burst", i))
	}
	for now.Sub(t0) < 10*time.Second {
		now = now.Add(step)
		for len(pending) > 0 && !now.Before(pending[0].at) {
			e := pending[0]
			pending = pending[1:]
			apply(s.FinishLoad(now, e.res))
		}
		if now.Sub(t0)%(25*time.Millisecond) == 0 {
			id := fmt.Sprint(now.Sub(t0))
			offered[id] = now
			offeredCount++
			submit(id)
		}
		apply(s.Tick(now))
	}
	return onTarget, offeredCount
}

// Under overload, loads for work that can still meet its target must come first.
// With loads in order of age, nearly all work would miss its target.
func TestLoadsPreferReachableTargets(t *testing.T) {
	is := is.New(t)
	onTarget, offered := simulateLoads(true)
	withoutTarget, _ := simulateLoads(false)
	t.Logf("%d of %d requests on target; %d with loads in order of age", onTarget, offered, withoutTarget)
	const possible = 16 * 10 // loads in the simulated time
	is.True(onTarget*100 >= possible*85)
	is.True(onTarget > withoutTarget)
}

// With serial prefill, the expected wait of new work must include the prefill of
// all granted work. Otherwise a burst is accepted with much too short a wait.
func TestSerialPrefill(t *testing.T) {
	is := is.New(t)
	s := newLoadedScheduler(SchedulerConfig{Slots: 2, BatchSize: 64, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond}, "a")
	work := func(id string, wait time.Duration) Work {
		w := shortWork(id, "a")
		w.PromptTokens, w.MaxWait = 4000, wait // 100 ms of prefill
		return w
	}
	is.Equal(describe(s.Submit(t0, work("r1", 50*time.Millisecond))), []string{"grant r1"})
	is.Equal(describe(s.Submit(t0, work("r2", 50*time.Millisecond))), []string{"refuse r2 overflow"})
	is.Equal(describe(s.Submit(t0.Add(60*time.Millisecond), work("r3", 50*time.Millisecond))), []string{"grant r3"})
	_, _, wait := s.Stats(t0.Add(60 * time.Millisecond))
	is.Equal(wait, 140*time.Millisecond)
	// Concurrent prefill increases the time between tokens, but not the prefill time.
	for range 100 {
		s.ObserveTokenTime(t0.Add(time.Second), 50*time.Millisecond)
	}
	is.Equal(describe(s.Submit(t0.Add(time.Second), work("r4", 0))), []string{"grant r4"})
	_, _, wait = s.Stats(t0.Add(time.Second))
	is.Equal(wait, 100*time.Millisecond)
}

// Work whose caller gives up before the expected first token is refused at once.
func TestFirstTokenDeadline(t *testing.T) {
	is := is.New(t)
	s := newLoadedScheduler(SchedulerConfig{Slots: 2, BatchSize: 64, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond}, "a")
	long := shortWork("long", "a")
	long.PromptTokens = 80_000 // two seconds of prefill
	s.Submit(t0, long)
	w := shortWork("r", "a")
	w.FirstTokenDeadline = t0.Add(time.Second)
	is.Equal(describe(s.Submit(t0, w)), []string{"refuse r too-late"})
}

// A new owner must not evict the adapters that it finds before adapters loaded
// for a single request, since the former owner kept them for a reason.
func TestAdoptedAdaptersAreNotEvictedFirst(t *testing.T) {
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

// The base model takes no slot and is never evicted.
func TestServesBase(t *testing.T) {
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

// Guards against an engine that refuses all work for adapters that are not loaded, since
// loads took long while it was restarting: without work there is no load that would correct
// the estimate.
func TestSlowLoadsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(SchedulerConfig{Slots: 100, BatchSize: 100, MaxLoads: 4, LoadTime: 250 * time.Millisecond})
	now := t0
	submit := func(id string) (refused bool) {
		w := shortWork(id, "a"+id)
		w.Deadline, w.FirstTokenDeadline = now.Add(6*time.Second), now.Add(2*time.Second)
		for _, a := range s.Submit(now, w) {
			switch a.Kind {
			case Refuse:
				refused = true
			case RequestLoad:
				l, ok := s.ApproveLoad(now)
				now = now.Add(15 * time.Second) // the engine does not respond
				if ok {
					s.FinishLoad(now, LoadResult{Adapter: l.Adapter})
				}
			}
		}
		return refused
	}
	for i := range 10 {
		submit(fmt.Sprint("slow", i))
	}
	is.True(submit("refused"))
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
	}
	is.True(!submit("accepted"))
}
