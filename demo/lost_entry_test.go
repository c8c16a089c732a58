package demo

import (
	"io"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/standin"
)

// recoveryTime is the time after which an engine serves again when a VM is lost. The platform
// defines it.
const recoveryTime = 12 * time.Second

// Guards against an engine that refuses everything once an entry VM is lost for good, since its owner
// waits for that VM to give back the grants of its streams.
func TestEngineServesAfterTheLossOfAnEntryVM(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipes := &standin.PipeNetwork{}
		network := entry.Network{Listen: pipes.Listen, Dial: pipes.Dial, Clock: clock.Virtual()}
		sys, err := newPlatform(network)
		is.NoErr(err)
		defer time.Sleep(time.Minute) // lets background goroutines time out
		defer sys.close()
		for _, r := range sys.replicas[1:] {
			sys.removeReplica(r)
		}
		sys.replicas = sys.replicas[:1]
		sys.replicas[0].EventTime = 200 * time.Millisecond // keeps the engine full
		names, networks := []string{"front-1", "front-2"}, make([]*mortalNetwork, 2)
		for i, name := range names {
			networks[i] = &mortalNetwork{Network: network}
			sys.network = networks[i].network()
			is.NoErr(sys.startDaemon(name, sys.storeAddr, io.Discard))
		}
		is.NoErr(sys.waitReady())
		time.Sleep(5 * time.Second)
		owner := slices.Index(names, sys.ownedEngines()[0].Node)
		lost := 1 - owner

		traffic := newPlatformTraffic(sys, 1)
		traffic.removeDaemon(owner)
		traffic.maxAttempts = 1
		done := make(chan struct{})
		go func() {
			defer close(done)
			traffic.run(600)
		}()
		time.Sleep(5 * time.Second)
		networks[lost].kill()
		<-done

		time.Sleep(recoveryTime)
		sys.replicas[0].EventTime = 25 * time.Millisecond
		is.Equal(sys.ownedEngines()[0].Node, names[owner])
		after := newPlatformTraffic(sys, 2)
		after.removeDaemon(lost)
		after.run(200)
		t.Logf("served before the loss %d, after it %d of %d", traffic.result.Served, after.result.Served, after.result.Requests)
		is.True(after.result.Served >= after.result.Requests/2)
	})
}
