package caller

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/schedule"
)

// Guards against a node whose polls and timers run seconds late, since it accepts more requests than
// it has processor time for.
func TestOverloadBoundsLateness(t *testing.T) {
	const (
		tick      = 25 * time.Millisecond
		length    = 20 * time.Second
		cost      = 2 * time.Millisecond // of a request that is served
		rejection = 200 * time.Microsecond
	)
	for _, tt := range []struct {
		name        string
		perSecond   int
		late        time.Duration // at most, of any timer
		minServed   int           // half of what the processor could serve beside the rejections
		allAdmitted bool
	}{
		{"within its processor time", 300, 10 * time.Millisecond, 6000, true},
		{"twice its processor time", 1000, 400 * time.Millisecond, 4200, false},
		{"four times its processor time", 2000, 400 * time.Millisecond, 3200, false},
		{"four times its processor time, by cost", 2000, 400 * time.Millisecond, 3200, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o, busy := Overload{Cores: 1}, time.Duration(0)
			if strings.HasSuffix(tt.name, "by cost") {
				o.ByCost = func() bool { return true }
			}
			start := time.Unix(0, 0)
			arrival, due, free := start, start.Add(tick), start // of the next request and of the timer; and when the processor is free
			worst, served := time.Duration(0), 0
			for n := 0; arrival.Before(start.Add(length)); {
				// Tasks run in the order of their arrival.
				if due.Before(arrival) {
					begin := latest(free, due)
					worst = max(worst, begin.Sub(due))
					late := begin.Sub(due)
					due = begin.Add(tick)
					o.Observe(LoadSample{At: begin, Late: late, Busy: busy, Next: due})
					continue
				}
				n++
				begin := latest(free, arrival)
				arrival = arrival.Add(time.Second / time.Duration(tt.perSecond))
				takes := rejection
				if priority := n % 2; !o.Rejects(begin, schedule.GateRequest{Priority: priority}) {
					takes = cost
					served++
				}
				free = begin.Add(takes)
				busy += takes
			}
			t.Logf("served %d, %v late at most", served, worst)
			is.True(worst <= tt.late)
			is.True(served >= tt.minServed)
			if tt.allAdmitted {
				is.True(served >= int(length.Seconds())*tt.perSecond)
			}
		})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a pause of the process, such as a suspension or a collection of garbage, that is
// taken for an overload.
func TestSinglePauseIsNoOverload(t *testing.T) {
	const (
		tick   = 25 * time.Millisecond
		pause  = 3 * time.Second
		caught = time.Second // until which some requests of lower priority may be rejected
	)
	is := is.New(t)
	var o Overload
	now := time.Unix(0, 0)
	var paused time.Time
	for i := range 1000 {
		late := time.Duration(0)
		if i%200 == 100 {
			late, paused = pause, now.Add(tick+pause)
		}
		now = now.Add(tick + late)
		is.True(!o.Rejects(now, schedule.GateRequest{})) // before the goroutine of the timer runs
		o.Observe(LoadSample{At: now, Late: late, Next: now.Add(tick)})
		is.True(!o.Rejects(now, schedule.GateRequest{}))
		if now.Sub(paused) > caught {
			is.True(!o.Rejects(now, schedule.GateRequest{Priority: 9}))
		}
	}
}
