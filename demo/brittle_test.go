//go:build !race

package demo

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against brittle servers that fall over, since the nodes together have them turn more requests away than
// they bear.
func TestBrittleServersStayUp(t *testing.T) {
	const (
		spell    = 12 * time.Second // in which the servers let fewer wait
		downtime = 3 * time.Second
	)
	for _, tt := range []struct {
		name     string
		refusals int // that a server bears in a second
		queue    int // requests that may wait
	}{
		{"few refusals, no queue", 3, 0},
		{"few refusals, short queue", 4, 2},
		{"more refusals, no queue", 10, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
				servers := slices.Concat(sys.replicas, sys.ledgers)
				traffic := newPlatformTraffic(sys, 1)
				traffic.maxAttempts = 20
				load := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						var wg sync.WaitGroup
						for range 3 {
							wg.Go(func() { traffic.run(40) })
						}
						wg.Wait()
					}
				}
				load(3 * time.Second)
				for _, r := range servers {
					r.SetFault(standin.ReplicaFault{Brittle: tt.refusals, BrittleDowntime: downtime})
				}
				load(healthyAfter)
				for _, r := range servers {
					r.SetFault(standin.ReplicaFault{Brittle: tt.refusals, BrittleQueue: &tt.queue, BrittleDowntime: downtime})
				}
				load(spell)
				for _, r := range servers {
					r.SetFault(standin.ReplicaFault{})
				}
				load(time.Second)
				count := func(servers []*standin.Replica) (falls, refusals int) {
					for _, r := range servers {
						falls += r.Record().Falls
						refusals += r.Record().BrittleRefusals
					}
					return falls, refusals
				}
				for _, service := range [][]*standin.Replica{sys.replicas, sys.ledgers} {
					falls, refusals := count(service)
					t.Logf("%d servers fell over %d times, and turned %d requests away", len(service), falls, refusals)
					is.True(falls <= 2+len(service)/10)
				}
				traffic.collect()
				t.Logf("%d of %d requests served", traffic.result.Served, traffic.result.Requests)
				is.Equal(traffic.result.violations(), nil)
			})
		})
	}
}

// Guards against sound servers that are given up while they are silent for a second or so.
func TestSilentServersAreBorne(t *testing.T) {
	playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
		traffic := newPlatformTraffic(sys, 1)
		var wg sync.WaitGroup
		wg.Go(func() { traffic.run(4000) })
		for i := range 6 {
			sys.replicas[i%replicaCount].FallSilent(1200 * time.Millisecond)
			sys.ledgers[i%ledgerCount].FallSilent(1200 * time.Millisecond)
			time.Sleep(2 * time.Second)
		}
		wg.Wait()
		traffic.collect()
		t.Logf("%d of %d requests served, refused: %v", traffic.result.Served, traffic.result.Requests, traffic.result.Refused)
		is.Equal(traffic.result.violations(), nil)
		is.Equal(traffic.result.Refused["502 orders"]+traffic.result.Refused["504 orders"], 0)
	})
}
