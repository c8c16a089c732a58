package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/schedule"
)

// Guards against plain servers that are overloaded and refuse requests by arrival, so that urgent ones
// are refused as often as others. The load is 100 requests a second of accounts of priority 0, and 300
// of others, at servers that serve 200.
func TestPoolGates(t *testing.T) {
	const length = 20 * time.Second
	for _, tt := range []struct {
		name   string
		gated  bool
		urgent int // priority of a quarter of the requests
	}{{"former rule", false, 2}, {"by cost", true, 2}, {"by cost, one kind", true, 5}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var gates PoolGates
			rng := rand.New(rand.NewPCG(5, 6))
			room, offered, served := 0.0, map[bool]int{}, map[bool]int{} // by whether it is urgent
			rejected := 0
			start := time.Unix(0, 0)
			for i := range int(length / time.Second * 400) {
				now := start.Add(time.Duration(i) * time.Second / 400)
				room = min(3, room+0.5)
				r, isUrgent := schedule.GateRequest{Priority: 5, TimeLeft: 120 * time.Millisecond}, rng.IntN(4) == 0
				if isUrgent {
					r.Priority = tt.urgent
				}
				offered[isUrgent]++
				if tt.gated && !gates.Admits(now, "p", r) {
					rejected++
					continue
				}
				ok := room >= 1
				if ok {
					room--
					served[isUrgent]++
				}
				gates.Observe(now, "p", !ok)
			}
			urgent := float64(served[true]) / float64(offered[true])
			others := float64(served[false]) / float64(offered[false])
			t.Logf("served %.2f of the urgent, %.2f of the others; %d rejected at once", urgent, others, rejected)
			switch {
			case tt.urgent == 5:
				is.Equal(rejected, 0) // the servers choose
			case tt.gated:
				is.True(urgent >= 0.75)                           // the former rule serves half of all
				is.True(others >= 0.25)                           // none starves
				is.True(served[true]+served[false] >= 0.9*200*20) // of what the servers can serve
			}
		})
	}
}

// Guards against a pool whose requests are rejected after its servers have room again.
func TestPoolGateOpensAgain(t *testing.T) {
	is := is.New(t)
	var gates PoolGates
	now := time.Unix(0, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		gates.Admits(now, "p", schedule.GateRequest{TimeLeft: time.Millisecond})
		gates.Observe(now, "p", true)
	}
	rejected := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		gates.Admits(now, "p", schedule.GateRequest{TimeLeft: time.Millisecond})
		if !gates.Admits(now, "p", schedule.GateRequest{Priority: 5}) {
			rejected++
		}
	}
	is.True(rejected > 0)
	now = now.Add(20 * gateWindow)
	for range 100 {
		is.True(gates.Admits(now, "p", schedule.GateRequest{Priority: 5}))
	}
}
