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
		{"no response to any request in between: the rarest part", func(p *promptPlay) {
			for i := range 9 {
				p.Admit(p.now, []string{"common", fmt.Sprint("part", i)})
			}
			for i := range quarantineCrashes {
				p.Admit(p.now, []string{"common", "bad"})
				p.crash(i, fmt.Sprint(i), "common", "bad")
				second(p)
			}
		}, map[string]bool{"bad": true}},
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
			p.Learn(p.now, []QuarantinedPart{{Part: "part", Left: time.Minute}}) // a node that has not heard of it
		}, nil},
		{"of another node", func(p *promptPlay) {
			p.Learn(p.now, []QuarantinedPart{{Part: "bad", Left: 30 * time.Second, Length: time.Minute}})
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
			is.Equal(len(p.Quarantined(p.now)), len(tt.quarantined))
		})
	}
}

// A part is tried again by one request of one node; an engine that crashes doubles the time.
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
	is.Equal(p.left("bad"), 2*quarantineTime)
	is.Equal(p.left("common"), time.Duration(0))
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
			list := n.Quarantined(now)
			is.Equal(len(list), 1)
			is.Equal(list[0].Part, "bad")
		}
	}
}
