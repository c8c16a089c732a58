package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against requests to replicas that leave and say so in their responses, while
// their rows still say that they are ready.
func TestLeavingReplicasWithOldRows(t *testing.T) {
	playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
		traffic := newPlatformTraffic(sys, 1)
		traffic.run(300)
		leaving := []*standin.Replica{sys.replicas[replicaCount-1], sys.ledgers[ledgerCount-1]}
		for _, r := range leaving {
			r.SetFault(standin.ReplicaFault{KeepRow: true})
			r.Drain()
		}
		traffic.run(300) // every daemon gets responses of them
		time.Sleep(drainPeriod)
		var before []int
		for _, r := range leaving {
			before = append(before, len(r.Record().Executions))
		}
		traffic.run(300)
		for i, r := range leaving {
			is.Equal(len(r.Record().Executions), before[i])
		}
		traffic.collect()
		is.Equal(traffic.result.violations(), nil)
	})
}
