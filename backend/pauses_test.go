package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPauses(t *testing.T) {
	s := &Server{ID: "s", StartMS: 1, Address: "10.0.0.1:1"}
	for _, tt := range []struct {
		name  string
		pause []time.Duration // asked for at t0, one after another
		left  time.Duration   // at t0
	}{
		{"none", nil, 0},
		{"seconds", []time.Duration{2 * time.Second}, 2 * time.Second},
		{"no time", []time.Duration{0}, 0},
		{"negative", []time.Duration{-time.Second}, 0},
		{"a shorter one does not end a longer one", []time.Duration{2 * time.Second, time.Second}, 2 * time.Second},
		{"a longer one extends it", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"too long", []time.Duration{1e9 * time.Second}, maxPause},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p Pauses
			for i, d := range tt.pause {
				is.Equal(p.Pause(t0, s, d), i == 0 && d > 0)
			}
			is.Equal(p.Left(t0, s), tt.left)
			is.Equal(p.Left(t0.Add(tt.left), s), time.Duration(0))
			restarted := &Server{ID: "s", StartMS: 2, Address: s.Address}
			is.Equal(p.Left(t0, restarted), time.Duration(0))
			find := func(now *Server) func(string) (*Server, bool) {
				return func(id string) (*Server, bool) { return now, id == "s" }
			}
			is.Equal(p.IsPaused(t0, s.Address, find(s)), tt.left > 0)
			is.Equal(p.IsPaused(t0, "10.0.0.2:1", find(s)), false)
			is.Equal(p.IsPaused(t0, s.Address, find(restarted)), false)
		})
	}
}

// Guards against a log line for each request that a server turns away during one pause.
func TestPauseIsNewOnce(t *testing.T) {
	is := is.New(t)
	var p Pauses
	s := &Server{ID: "s"}
	is.True(p.Pause(t0, s, time.Second))
	is.True(!p.Pause(t0.Add(time.Second/2), s, time.Second))
	is.True(p.Pause(t0.Add(2*time.Second), s, time.Second))
}

// Plays 300 requests a second of 50 ms each on three servers, one of which asks for a
// pause of three seconds after the first. It gets nothing until the pause ends, the others
// take over, and its load then rises step by step: without that, a server that is idle
// gets all requests until it has as many in flight as the others.
func TestBalancerDuringPause(t *testing.T) {
	is := is.New(t)
	const (
		interval = time.Second / 300
		duration = 50 * time.Millisecond
		start    = time.Second
		pauseFor = 3 * time.Second
	)
	paused := &Server{ID: "paused"}
	servers := []*Server{paused, {ID: "b"}, {ID: "c"}}
	var b Balancer
	type end struct {
		at   time.Time
		done func(time.Time, bool)
	}
	var running []end
	during, first, full := 0, 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		now := t0.Add(at)
		for len(running) > 0 && !running[0].at.After(now) {
			running[0].done(running[0].at, false)
			running = running[1:]
		}
		if at >= start && at < start+interval {
			b.Pauses.Pause(now, paused, pauseFor)
		}
		s, done := b.Pick(now, servers, nil)
		is.True(s != nil) // the others take over
		running = append(running, end{now.Add(duration), done})
		if s != paused {
			continue
		}
		switch since := at - start - pauseFor; {
		case at > start+interval && since < 0:
			during++
		case since >= 0 && since < duration:
			first++
		case since > 5*time.Second:
			full++
		}
	}
	is.Equal(during, 0)
	is.True(first <= 1) // a third of the 15 requests of that time would be 5
	is.True(full > 50)  // 100 are a third of the last second
}

// Plays 200 requests a second with a target of one second on a pool whose servers all ask
// for a pause. A request whose target allows it is held, and no more than three times the
// usual number come at the end of the pause, in the mean. The others are rejected at once, with a time
// that is not too early.
func TestRequestsWaitForEndOfPause(t *testing.T) {
	const (
		target   = time.Second
		interval = 5 * time.Millisecond
		window   = 50 * time.Millisecond
		plays    = 100
	)
	for _, tt := range []struct {
		name           string
		pause, between time.Duration // of the two servers; the second asks later
		rejects        bool
	}{
		{"short", 300 * time.Millisecond, 0, false},
		{"long", 5 * time.Second, 0, true},
		{"one ends sooner", 300 * time.Millisecond, 4 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := &Server{ID: "a"}, &Server{ID: "b"}
			servers := []*Server{a, b, {ID: "c", Draining: true}, {ID: "d"}}
			excluded := func(s *Server) bool { return s.ID == "d" }
			var p Pauses
			wait := func(at time.Duration) time.Duration {
				left, _ := p.Wait(t0.Add(at), servers, excluded)
				return left
			}
			is.Equal(wait(0), time.Duration(0))
			p.Pause(t0, a, tt.pause)
			is.Equal(wait(0), time.Duration(0)) // b takes over
			p.Pause(t0, b, tt.pause+tt.between)
			arrivals := make(map[time.Duration]int) // by window after the end of the first pause, in all plays
			rejected := 0
			for range plays {
				for at := time.Duration(0); at < tt.pause+2*time.Second; at += interval {
					left, spread := p.Wait(t0.Add(at), servers, excluded)
					is.Equal(left, max(0, tt.pause-at))
					hold, ok := HoldTime(left, spread, target)
					is.Equal(ok, left <= target/2)
					if !ok {
						rejected++
						continue
					}
					is.True(hold >= left && hold <= 3*target/4)
					arrivals[(at+hold-tt.pause)/window]++
				}
			}
			is.Equal(rejected > 0, tt.rejects)
			for _, n := range arrivals {
				is.True(float64(n)/plays <= 3.3*float64(window/interval)) // three times the usual number, and chance
			}
		})
	}
}
