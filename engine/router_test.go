package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func engineNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	return names
}

func TestRendezvousMovesOnlyWhatWasLost(t *testing.T) {
	is := is.New(t)
	names := engineNames(10)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("adapter", i)
		before := Rendezvous(key, names, nil, 1)[0]
		after := Rendezvous(key, names[1:], nil, 1)[0]
		if before != after {
			is.Equal(before, "e0")
			moved++
		}
	}
	is.True(moved > 50 && moved < 200)
}

func TestRendezvousWeights(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	weight := func(name string) float64 { return map[string]float64{"heavy": 3, "light": 1}[name] }
	for i := range 4000 {
		count[Rendezvous(fmt.Sprint(i), []string{"heavy", "light", "none"}, weight, 1)[0]]++
	}
	is.True(count["heavy"] > 2700 && count["heavy"] < 3300)
	is.Equal(count["none"], 0)
}

func TestRouterPassesOverSlowEngines(t *testing.T) {
	is := is.New(t)
	r := NewRouter(RouterConfig{})
	names := engineNames(6)
	first := r.Candidates(t0, "a", names, true)[0]
	now := t0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, n := range names {
			d := 25 * time.Millisecond
			if n == first {
				d = 250 * time.Millisecond
			}
			r.ObserveTokenTime(now, n, d)
		}
	}
	is.True(r.Slow(first))
	r.Candidates(now, "a", names, true) // a probe may be due
	is.True(r.Candidates(now, "a", names, true)[0] != first)
	is.Equal(r.Candidates(now.Add(2*time.Second), "a", names, true)[0], first) // the next probe
}

func TestRouterSpreadsHotAdapters(t *testing.T) {
	is := is.New(t)
	r := NewRouter(RouterConfig{})
	names := engineNames(10)
	is.Equal(len(r.Candidates(t0, "hot", names, true)), 3)
	now := t0
	for range 4 {
		now = now.Add(time.Second)
		r.RecordOverflow(now, "hot")
	}
	is.Equal(len(r.Candidates(now, "hot", names, true)), 7)
	is.Equal(len(r.Candidates(now, "cool", names, true)), 3)
	is.Equal(len(r.Candidates(now.Add(5*time.Minute), "hot", names, true)), 3)
}

func TestHedgesStayWithinTheirShare(t *testing.T) {
	is := is.New(t)
	r := NewRouter(RouterConfig{HedgeShare: 0.03})
	spent := 0
	const requests, tokens = 10_000, 50
	for range requests {
		r.AddHedgeCredit(tokens)
		if r.TryHedge() {
			spent++
		}
	}
	is.True(float64(spent*hedgeTokens) <= 0.03*requests*tokens)
}
