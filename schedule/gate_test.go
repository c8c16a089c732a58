package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node without processor time that rejects requests of all priorities alike, or all of
// some, or the large ones of a kind. The load is Lakeshore's mix with nine requests of ten of accounts of
// priority 1, at a node that admits less than it is offered.
func TestGate(t *testing.T) {
	const most = 10.0 // work of a request
	for _, part := range []float64{0, 0.3, 0.6, 0.9, 1} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(3, 4))
		var g Gate
		var offered, admitted [Priorities + 1]float64 // by priority; the last one is of large requests
		for i := range 20_000 {
			now := t0.Add(time.Duration(i) * 2 * time.Millisecond)
			r := GateRequest{Priority: rng.IntN(3), TimeLeft: 500 * time.Millisecond, Work: 1}
			if rng.IntN(10) > 0 {
				r.Priority += 3
			}
			if r.Priority%3 == 2 {
				r.TimeLeft = 2 * time.Second
			}
			isLarge := r.Priority == 4 && rng.IntN(10) == 0
			if isLarge {
				r.Work = most
			}
			ok := g.Admits(now, r, part)
			offered[r.Priority] += r.Work
			if isLarge {
				offered[Priorities] += r.Work
			}
			if ok {
				admitted[r.Priority] += r.Work
			}
			if ok && isLarge {
				admitted[Priorities] += r.Work
			}
		}
		last, all, total := 1.0, 0.0, 0.0
		for p := range 6 {
			got := admitted[p] / offered[p]
			t.Logf("%.1f admitted: %.3f of priority %d", part, got, p)
			is.True(got <= last+0.05) // a more urgent kind is served as often
			is.True(got >= part/4)    // none starves
			last, all, total = got, all+admitted[p], total+offered[p]
		}
		is.True(math.Abs(all/total-part) < 0.02)
		is.True(admitted[Priorities]/offered[Priorities] >= admitted[4]/offered[4]/2) // large ones
	}
}

// Guards against a resumed stream that is rejected as a new request.
func TestGateAdmitsWhatHasBegun(t *testing.T) {
	is := is.New(t)
	var g Gate
	begun := 0
	for i := range 1000 {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		g.Admits(now, GateRequest{Priority: i % 6, TimeLeft: time.Second}, 0.5)
		if i%20 == 0 && g.Admits(now, GateRequest{Priority: 8, HasBegun: true}, 0.5) {
			begun++
		}
	}
	is.True(begun >= 49)
}
