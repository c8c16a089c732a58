package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// promptPlay plays crashes and responses on a [PromptQuarantine].
type promptPlay struct {
	PromptQuarantine
	now time.Time
}

func (p *promptPlay) crash(engine int, request string, parts ...string) string {
	return p.ObserveCrash(p.now, PromptCrash{Incarnation: fmt.Sprintf("e%d", engine), RequestID: request, Parts: parts})
}

func (p *promptPlay) left(parts ...string) time.Duration { return p.Left(p.now, parts) }

func TestPromptQuarantine(t *testing.T) {
	second := func(p *promptPlay) { p.now = p.now.Add(time.Second) }
	for _, tt := range []struct {
		name        string
		play        func(p *promptPlay)
		quarantined map[string]bool
	}{
		{"a part that crashes engines one after the other", func(p *promptPlay) {
			for i := range quarantineCrashes {
				p.crash(i, fmt.Sprint(i), "common", "bad")
				second(p)
				p.ObserveResponse(p.now, []string{"common", "other"})
			}
		}, map[string]bool{"bad": true}},
		{"one crash less", func(p *promptPlay) {
			for i := range quarantineCrashes - 1 {
				p.crash(i, fmt.Sprint(i), "bad")
				second(p)
			}
		}, nil},
		{"one request that is retried", func(p *promptPlay) {
			for i := range 5 {
				p.crash(i, "1", "part")
				second(p)
			}
		}, nil},
		{"one engine that breaks off responses", func(p *promptPlay) {
			for i := range 9 {
				p.crash(1, fmt.Sprint(i), "part")
				p.now = p.now.Add(2 * engineRestartTime)
			}
		}, nil},
		{"requests in flight on an engine that ends, seen late", func(p *promptPlay) {
			for i := range 9 {
				p.ObserveCrash(p.now, PromptCrash{Incarnation: fmt.Sprint("e", i%3), RequestID: fmt.Sprint(i), Parts: []string{"part"}, InFlight: time.Duration(i) * time.Second})
				second(p)
			}
		}, nil},
		{"several engines that fail at once", func(p *promptPlay) {
			for i := range 9 {
				p.crash(i, fmt.Sprint(i), "common", fmt.Sprint("part", i))
				p.now = p.now.Add(10 * time.Millisecond)
			}
		}, nil},
		{"engines that crash for another reason while others respond", func(p *promptPlay) {
			for i := range 9 {
				p.crash(i, fmt.Sprint(i), "common", fmt.Sprint("part", i))
				second(p)
				p.ObserveResponse(p.now, []string{"common", "other"})
			}
		}, nil},
		{"others in flight on the same engines are not suspected any more", func(p *promptPlay) {
			for i := range 6 {
				p.crash(i, fmt.Sprint("a", i), "rare")
				p.crash(i, fmt.Sprint("b", i), "bad")
				second(p)
				if i < 2 {
					p.ObserveResponse(p.now, []string{"rare"})
				}
			}
		}, map[string]bool{"bad": true}},
		{"a response ends it", func(p *promptPlay) {
			for i := range quarantineCrashes {
				p.crash(i, fmt.Sprint(i), "part")
				second(p)
			}
			p.ObserveResponse(p.now, []string{"part"})
			p.Learn(p.now, []Quarantine{{Parts: []string{"part"}, Left: time.Minute}}) // a node that has not heard of it
		}, nil},
		{"of another node", func(p *promptPlay) {
			p.Learn(p.now, []Quarantine{{Parts: []string{"bad"}, Left: 30 * time.Second, Length: time.Minute}})
		}, map[string]bool{"bad": true}},
		{"crashes that other nodes saw", func(p *promptPlay) {
			for i := range quarantineCrashes {
				p.Record(p.now, PromptEvents{Crashes: []PromptCrash{{Incarnation: fmt.Sprint(i), RequestID: fmt.Sprint(i), Parts: []string{"bad"}}}})
				second(p)
			}
		}, map[string]bool{"bad": true}},
		{"responses that other nodes saw", func(p *promptPlay) {
			for i := range 5 {
				p.crash(i, fmt.Sprint(i), "part")
				second(p)
				p.Record(p.now, PromptEvents{Cleared: []string{"part"}})
			}
		}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := &promptPlay{now: time.Unix(1000, 0)}
			tt.play(p)
			for _, part := range []string{"common", "bad", "rare", "part", "part0", "other"} {
				if got := p.left("x", part) > 0; got != tt.quarantined[part] {
					t.Errorf("%s in quarantine: %v", part, got)
				}
			}
			is.Equal(len(p.Quarantines(p.now)), len(tt.quarantined))
		})
	}
}

// A quarantine is tested by one request of one node, and lasts longer unless that has a response.
func TestPromptTrial(t *testing.T) {
	is := is.New(t)
	p := &promptPlay{now: time.Unix(1000, 0)}
	trialNode := true
	p.IsTrialNode = func(string) bool { return trialNode }
	for i := range quarantineCrashes {
		p.crash(i, fmt.Sprint(i), "bad")
		p.now = p.now.Add(time.Second)
	}
	parts := []string{"common", "bad"}
	left, trial := p.Admit(p.now, parts)
	is.True(left > quarantineTime-2*time.Second)
	is.True(!trial)
	p.now = p.now.Add(left)
	trialNode = false
	left, trial = p.Admit(p.now, parts)
	is.True(left > 0)
	is.True(!trial)
	trialNode = true
	left, trial = p.Admit(p.now, parts)
	is.Equal(left, time.Duration(0))
	is.True(trial)
	left, trial = p.Admit(p.now, parts)
	is.True(left > 0)
	is.True(!trial)
	is.Equal(p.crash(9, "trial", parts...), "")
	is.Equal(p.left("bad"), quarantineGrowth*quarantineTime)
	is.Equal(p.left("common"), time.Duration(0))
}

// Without a response to any other request, only prompts that share all parts of those that
// crashed engines are rejected, also after a further crash, and the first response
// shows which part is at fault.
func TestPromptsWithAllPartsOfCrashesAreRejected(t *testing.T) {
	is := is.New(t)
	p := &promptPlay{now: time.Unix(1000, 0)}
	for i := range quarantineCrashes {
		p.crash(i, fmt.Sprint(i), "common", "caller", "bad")
		p.now = p.now.Add(time.Second)
	}
	p.crash(quarantineCrashes-1, "second on one engine", "common", "caller", "bad")
	p.crash(quarantineCrashes, "in flight", "common", "caller", "subject")
	is.True(p.left("common", "caller", "bad") > 0)
	is.Equal(p.left("common", "caller", "subject"), time.Duration(0))
	p.ObserveResponse(p.now, []string{"common", "caller", "subject"})
	is.True(p.left("other", "bad") > 0)
	is.Equal(p.left("common", "caller"), time.Duration(0))
}

// A node whose connections break must not make others reject what they have answered.
func TestQuarantineOfCutNodeIsNotLearned(t *testing.T) {
	is := is.New(t)
	cut, other := &promptPlay{now: time.Unix(1000, 0)}, &promptPlay{now: time.Unix(1000, 0)}
	for i := range quarantineCrashes {
		c := PromptCrash{Incarnation: fmt.Sprint(i), RequestID: fmt.Sprint(i), Parts: []string{"common"}}
		cut.ObserveCrash(cut.now, c)
		other.Record(other.now, PromptEvents{Crashes: []PromptCrash{c}})
		if i > 0 {
			other.ObserveResponse(other.now, []string{"common", "subject"})
		}
		cut.now = cut.now.Add(time.Second)
		other.now = cut.now
	}
	is.True(cut.left("common") > 0)
	other.Learn(other.now, cut.Quarantines(cut.now))
	is.Equal(other.left("common"), time.Duration(0))
}

// A node that misses the message of a successful trial must not reject prompts for ever, nor
// pass its quarantine on once it has ended.
func TestQuarantineLapses(t *testing.T) {
	is := is.New(t)
	p, joined := &promptPlay{now: time.Unix(1000, 0)}, &promptPlay{}
	p.IsTrialNode = func(string) bool { return false }
	for i := range quarantineCrashes {
		p.crash(i, fmt.Sprint(i), "part")
		p.now = p.now.Add(time.Second)
	}
	p.now = p.now.Add(quarantineTime)
	joined.Learn(p.now, p.Quarantines(p.now))
	is.Equal(joined.Left(p.now, []string{"part"}), time.Duration(0))
	is.True(p.left("part") > 0)
	p.now = p.now.Add(quarantineLapse)
	left, trial := p.Admit(p.now, []string{"part"})
	is.Equal(left, time.Duration(0))
	is.True(!trial)
}

// Crashes are found on engines that were suspected before for another reason, also if many
// suspicions are remembered, and also if engines that are back together crash together.
func TestCrashesAreFoundBesideOthers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before int // crashes at one moment, with parts that do not return
		pause  func(i int) time.Duration
	}{
		{"the same engines", 40, func(int) time.Duration { return time.Second }},
		{"as many as are remembered", maxCrashes, func(int) time.Duration { return time.Second }},
		{"in bursts", 0, func(i int) time.Duration {
			if i%8 == 7 {
				return 4 * time.Second
			}
			return 2 * sameCrashTime
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &promptPlay{now: time.Unix(1000, 0)}
			for i := range tt.before {
				p.crash(i, fmt.Sprint("before", i), fmt.Sprint("subject", i))
			}
			p.now = p.now.Add(20 * time.Second)
			crashes := 0
			for i := range 40 {
				if p.left("bad") == 0 {
					crashes++
					p.crash(i, fmt.Sprint("bad", i), "bad")
				}
				p.now = p.now.Add(tt.pause(i))
			}
			is.New(t).Equal(crashes, quarantineCrashes)
		})
	}
}

// Guards against crashes that count once because the row of an engine still shows the incarnation
// that crashed before: engines that are back within a second or two crash again.
func TestCrashesAreFoundWhileRowsLag(t *testing.T) {
	const lag = 3 * time.Second
	for _, downtime := range []time.Duration{1200 * time.Millisecond, 2 * time.Second} {
		for engines := 2; engines <= 6; engines++ {
			p := &promptPlay{now: time.Unix(1000, 0)}
			starts := make([][]time.Time, engines) // of each engine
			var crashes []time.Time
			late := 0
			for i := range 400 { // a request each 100 ms
				p.now = p.now.Add(100 * time.Millisecond)
				n := i % engines
				if last := len(starts[n]) - 1; p.left("bad") > 0 || last >= 0 && starts[n][last].After(p.now) {
					continue
				}
				shown := 0
				for k, at := range starts[n] {
					next := p.now
					if k+1 < len(starts[n]) {
						next = starts[n][k+1].Add(-downtime) // it crashed before its row was written
					}
					if at.Add(lag).Before(p.now) && at.Add(lag).Before(next) {
						shown = k + 1
					}
				}
				crashes = append(crashes, p.now)
				if len(crashes) > 5 && p.now.Sub(crashes[4]) > 3*time.Second {
					late++
				}
				p.ObserveCrash(p.now, PromptCrash{Incarnation: fmt.Sprintf("e%d/%d", n, shown), RequestID: fmt.Sprint(i), Parts: []string{"bad"}, InFlight: 50 * time.Millisecond})
				starts[n] = append(starts[n], p.now.Add(downtime))
			}
			if late > 3 {
				t.Errorf("%d engines, back after %v: %d requests more", engines, downtime, late)
			}
		}
	}
}

// Under load on many engines, at most three prompts with a bad part are sent later than three
// seconds after the fifth crash, wherever they come, and no other part is quarantined, also
// while engines crash for other reasons.
func TestPromptQuarantineUnderLoad(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes := make([]*promptPlay, 7)
		for i := range nodes {
			nodes[i] = &promptPlay{}
		}
		now := time.Unix(1000, 0)
		engines, requests, late := 0, 0, 0
		var crashes []time.Time
		crash := func(parts ...string) {
			requests++
			n := nodes[rng.IntN(len(nodes))]
			n.now = now
			n.crash(engines, fmt.Sprint(requests), parts...)
		}
		for range 6000 { // a minute
			now = now.Add(10 * time.Millisecond)
			common := fmt.Sprint("common", rng.IntN(3))
			n := nodes[rng.IntN(len(nodes))]
			switch u := rng.Float64(); {
			case u < 0.03 && n.Left(now, []string{common, "bad"}) == 0:
				crashes, engines = append(crashes, now), engines+1
				if len(crashes) > 5 && now.Sub(crashes[4]) > 3*time.Second {
					late++
				}
				crash(common, "bad")
				for range 4 { // in flight on the same engine, without a response yet
					crash(fmt.Sprint("common", rng.IntN(3)), fmt.Sprint("subject", rng.IntN(200)))
				}
			case u < 0.04:
				engines++
				crash(common, fmt.Sprint("subject", rng.IntN(200)))
			case u > 0.1:
				n.ObserveResponse(now, []string{common, fmt.Sprint("subject", rng.IntN(200))})
			}
			for _, from := range nodes { // messages arrive at once
				e := from.TakeEvents()
				for _, to := range nodes {
					if to != from {
						to.Record(now, e)
					}
				}
			}
		}
		is.True(late <= 3)
		for _, n := range nodes {
			list := n.Quarantines(now)
			is.Equal(len(list), 1)
			is.Equal(list[0].Name(), "bad")
		}
	}
}
