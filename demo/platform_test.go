package demo

import (
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/standin"
)

// The daemons keep their guarantees on the stand-in of the platform, in virtual time.
func TestPlatform(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			network := &standin.PipeNetwork{}
			err := runPlatform(Options{Seed: seed, Requests: 1500, Out: io.Discard, Progress: io.Discard},
				entry.Network{Listen: network.Listen, Dial: network.Dial, Clock: clock.Virtual()}, io.Discard)
			is.New(t).NoErr(err)
			time.Sleep(time.Minute) // lets background goroutines time out
		})
	}
}
