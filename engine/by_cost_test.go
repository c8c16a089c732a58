package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newBusyScheduler returns a scheduler by cost whose batch is full of work of priority 2.
func newBusyScheduler(cfg SchedulerConfig) *Scheduler {
	cfg.Slots, cfg.BatchSize, cfg.ByCost = 2, 4, true
	s := newLoadedScheduler(cfg, "a", "b")
	for i := range 4 {
		w := shortWork(fmt.Sprint("running", i), "a")
		w.Priority = 2
		s.Submit(t0, w)
	}
	return s
}

func urgentWork(id string, priority int) Work {
	w := shortWork(id, "a")
	w.Priority, w.FirstTokenTarget = priority, t0.Add(time.Duration(1+priority)*time.Second)
	return w
}

// Guards against urgent work that waits behind work that can wait, or is refused instead of it.
func TestUrgentWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	s := newBusyScheduler(SchedulerConfig{MaxQueue: 2})
	is.Equal(describe(s.Submit(t0, urgentWork("notes1", 2))), []string{})
	is.Equal(describe(s.Submit(t0, urgentWork("notes2", 2))), []string{})
	acts := s.Submit(t0, urgentWork("chat", 0)) // displaces the one that came last
	is.Equal(len(acts), 1)
	is.Equal(acts[0].Reason, Displaced)
	is.True(acts[0].RetryAfter >= minRetryAfter)
	is.Equal(describe(s.Submit(t0, urgentWork("notes3", 2))), []string{"refuse notes3 queue-full"})
	is.Equal(describe(s.Release(t0, "running0", false)), []string{"grant chat"})
	resumed := urgentWork("resumed", 2)
	resumed.Resumed = true
	s.Submit(t0, resumed)
	is.Equal(describe(s.Release(t0, "running1", false)), []string{"grant resumed"})
}

// Guards against work that waits in vain until its deadline, after more urgent work has come.
func TestDisplacedWorkIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newBusyScheduler(SchedulerConfig{TokenTime: 100 * time.Millisecond}) // a second each, and four at once
	notes := urgentWork("notes", 2)
	notes.FirstTokenDeadline = t0.Add(3 * time.Second)
	is.Equal(describe(s.Submit(t0, notes)), []string{})
	for i := range 40 {
		s.Submit(t0, urgentWork(fmt.Sprint("chat", i), 0))
	}
	acts := s.Tick(t0.Add(100 * time.Millisecond))
	is.Equal(describe(acts), []string{"refuse notes displaced"})
	is.True(acts[0].RetryAfter > time.Second) // the urgent work takes ten
}

// Guards against work that is granted beyond the engine's memory, and against large work that waits
// while other large work overtakes it.
func TestGrantsFitTheMemory(t *testing.T) {
	is := is.New(t)
	s := newLoadedScheduler(SchedulerConfig{Slots: 2, BatchSize: 4, ByCost: true, KVCapacity: 10_000}, "a")
	submit := func(id string, prompt, priority int) []string {
		w := urgentWork(id, priority)
		w.PromptTokens = prompt
		return describe(s.Submit(t0, w))
	}
	is.Equal(submit("large1", 6000, 0), []string{"grant large1"})
	is.Equal(submit("large2", 6000, 0), []string{})               // does not fit
	is.Equal(submit("large3", 2800, 1), []string{})               // fits, and would keep large2 waiting
	is.Equal(submit("small", 2000, 2), []string{"grant small"})   // of such a size a whole batch fits
	is.Equal(submit("larger", 20_000, 2), []string{})             // more than the memory
	is.Equal(describe(s.Release(t0, "small", false)), []string{}) // large2 still does not fit
	is.Equal(describe(s.Release(t0, "large1", false)), []string{"grant large2", "grant large3"})
	is.Equal(describe(s.Release(t0, "large2", false)), []string{})
	is.Equal(describe(s.Release(t0, "large3", false)), []string{"grant larger"}) // alone
}

// Guards against entry nodes that ask an owner again and again for what it has just refused, and
// against refusals that hold although they depend on the work alone.
func TestRefusalsHold(t *testing.T) {
	is := is.New(t)
	s := newBusyScheduler(SchedulerConfig{TokenTime: 100 * time.Millisecond})
	for i := range 40 {
		s.Submit(t0, urgentWork(fmt.Sprint("chat", i), 0))
	}
	late := urgentWork("late", 0)
	late.FirstTokenDeadline = t0.Add(2 * time.Second)
	acts := s.Submit(t0, late)
	is.Equal(acts[0].Reason, DeadlineUnmet)
	is.Equal(acts[0].Hold, maxHold)
	late.FirstTokenDeadline = t0.Add(-time.Second)
	acts = s.Submit(t0, late)
	is.Equal(acts[0].Hold, time.Duration(0))
}

// Guards against work that is refused while less urgent work with the same times is admitted at the same
// moment, beyond the share that its priority is guaranteed.
func TestUrgentWorkIsNotRefusedBeforeOther(t *testing.T) {
	fixSeed(t)
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newLoadedScheduler(SchedulerConfig{Slots: 2, BatchSize: 4, MaxQueue: 30, ByCost: true, TokenTime: 20 * time.Millisecond}, "a", "b")
		now, running := t0, []string{}
		for i := range rapid.IntRange(10, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			apply := func(acts []Action) {
				for _, a := range acts {
					if a.Kind == Grant {
						running = append(running, a.Work.ID)
					}
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 && len(running) > 0 {
				id := running[0]
				running = running[1:]
				apply(s.Release(now, id, false))
			}
			if rapid.IntRange(0, 9).Draw(t, "tick") == 0 {
				apply(s.Tick(now))
			}
			w := shortWork(fmt.Sprint("r", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "adapter"))
			w.Priority = rapid.IntRange(0, 8).Draw(t, "priority")
			w.FirstTokenTarget = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "target")) * time.Millisecond)
			w.FirstTokenDeadline = w.FirstTokenTarget.Add(time.Second)
			acts := s.Submit(now, w)
			apply(acts)
			if len(acts) == 0 || acts[0].Kind != Refuse || acts[0].Work.ID != w.ID {
				continue
			}
			refused++
			other := w
			other.ID, other.Priority = w.ID+"-other", rapid.IntRange(w.Priority+1, 9).Draw(t, "less urgent")
			acts = s.Submit(now, other)
			apply(acts)
			if queued := s.waiting[other.ID]; queued != nil && queued.missesDeadline(now, s.guaranteedWait(now, queued, 0)) {
				t.Fatalf("priority %d was refused, and %d is admitted beyond its share", w.Priority, other.Priority)
			}
		}
	})
	is.New(t).True(refused > 100)
}
