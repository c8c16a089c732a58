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

// playSystem runs a test in virtual time on a system on a stand-in of the platform that is ready.
func playSystem(t *testing.T, play func(is *is.I, sys *platformSystem, network *standin.PipeNetwork)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := &standin.PipeNetwork{}
		sys, err := newPlatformSystem(entry.Network{Listen: network.Listen, Dial: network.Dial, Clock: clock.Virtual()}, io.Discard)
		is.NoErr(err)
		defer checkOwners(t, sys)
		defer time.Sleep(time.Minute) // lets background goroutines time out
		defer sys.close()
		is.NoErr(sys.waitReady())
		play(is, sys, network)
	})
}

// checkOwners checks all commands that arrived at the engines until now.
func checkOwners(t *testing.T, sys *platformSystem) {
	t.Helper()
	for _, violation := range sys.ownerViolations() {
		t.Error(violation)
	}
}
