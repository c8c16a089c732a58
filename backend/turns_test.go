package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/standin"
)

// turnsSystem is a system of nodes that ask for turns at one server, each by its own view of
// which node decides.
type turnsSystem struct {
	nodes   []*backend.Turns
	decider []int // by node; -1 if it cannot be reached
	next    []time.Time
	sent    []time.Time
}

// step lets each node ask that has a request and was not told to wait.
func (s *turnsSystem) step(now time.Time, l backend.Limit) {
	for i, node := range s.nodes {
		if now.Before(s.next[i]) {
			continue
		}
		var wait time.Duration
		var ok bool
		if s.decider[i] < 0 {
			wait, ok = node.TakeOwnShare(now, "a", l, len(s.nodes))
		} else {
			wait, ok = s.nodes[s.decider[i]].Take(now, "a", l, len(s.nodes))
		}
		if ok {
			s.sent = append(s.sent, now)
		}
		s.next[i] = now.Add(wait)
	}
}

// Guards against nodes that together send a server more than its limit, while the node that
// decides dies, changes with a join that others know later, or is cut off, and against limits
// that are hardly used.
func TestNodesKeepToALimitTogether(t *testing.T) {
	for _, nodes := range []int{7, 200} {
		for _, perSecond := range []float64{0.5, 3.6, 6, 25} {
			for _, trouble := range []string{"none", "decider dies", "decider changes", "decider changes twice", "all lose it"} {
				t.Run(fmt.Sprintf("%d nodes, %v a second, %s", nodes, perSecond, trouble), func(t *testing.T) {
					is := is.New(t)
					rng := rand.New(rand.NewPCG(uint64(nodes), 1))
					start := time.Unix(1000, 0)
					s := &turnsSystem{decider: make([]int, nodes), next: make([]time.Time, nodes)}
					for range nodes {
						s.nodes = append(s.nodes, &backend.Turns{})
					}
					setDecider := func(decider int) {
						for i := range s.decider {
							s.decider[i] = decider
						}
					}
					const length = 60 * time.Second
					for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
						i := rng.IntN(nodes)
						switch {
						case trouble == "decider dies" && at > 20*time.Second && at < 26*time.Second:
							setDecider(-1) // its session expires then
						case trouble == "decider dies" && at >= 26*time.Second:
							setDecider(1)
						case trouble == "decider changes" && at > 20*time.Second && at < 24*time.Second:
							s.decider[i] = 1 // one node after the other reads that it joined
						case trouble == "decider changes" && at >= 24*time.Second:
							setDecider(1)
						case trouble == "decider changes twice" && at > 20*time.Second && at < 24*time.Second:
							s.decider[i] = 1
						case trouble == "decider changes twice" && at == 24*time.Second:
							setDecider(1) // all have read the first change
						case trouble == "decider changes twice" && at > 24*time.Second && at < 28*time.Second:
							s.decider[i] = 2
						case trouble == "decider changes twice" && at >= 28*time.Second:
							setDecider(2)
						case trouble == "all lose it" && at > 20*time.Second && at < 40*time.Second:
							setDecider(-1)
						case trouble == "all lose it" && at >= 40*time.Second:
							setDecider(0)
						}
						s.step(start.Add(at), backend.Limit{Limited: true, PerSecond: perSecond, StartMS: 5})
					}
					is.True(standin.MostWithin(s.sent, start, 4*time.Second) <= int(1.5*perSecond*4+5))
					if trouble == "none" {
						is.True(float64(len(s.sent)) >= 0.7*perSecond*length.Seconds())
					}
				})
			}
		}
	}
}
