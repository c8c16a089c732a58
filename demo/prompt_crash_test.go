package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against prompts that crash one engine after the other: each is sent to two engines,
// at any daemon, and no daemon learns from what others saw.
func TestPromptPartDoesNotCrashEnginesAgainAndAgain(t *testing.T) { playCrashingPrompts(t, 0) }

// Guards against a quarantine that comes too late, or never, as engines crash again before their rows
// show that they have started anew: all crashes of an engine seemed to be one.
func TestPromptPartIsFoundWhileRowsLag(t *testing.T) { playCrashingPrompts(t, 3*time.Second) }

// playCrashingPrompts sends prompts that crash engines, among others. The row of an engine
// shows its restart after rowLag.
func playCrashingPrompts(t *testing.T, rowLag time.Duration) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var started atomic.Pointer[platformSystem] // set once all replicas have their addresses
		pipes := &standin.PipeNetwork{}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if sys := started.Load(); sys != nil && slices.ContainsFunc(sys.replicas, func(r *standin.Replica) bool { return r.Self.Address == address && r.IsDown() }) {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			return pipes.Dial(ctx, network, address)
		}
		sys, err := newPlatformSystem(entry.Network{Listen: pipes.Listen, Dial: dial, Clock: clock.Virtual()}, io.Discard)
		is.NoErr(err)
		started.Store(sys)
		defer checkOwners(t, sys)
		defer time.Sleep(time.Minute) // lets background goroutines time out
		defer sys.close()
		is.NoErr(sys.waitReady())
		for _, r := range sys.replicas {
			r.SetFault(standin.ReplicaFault{CrashPart: "bad", CrashDowntime: 2 * time.Second, CrashRowLag: rowLag})
		}
		traffic := newPlatformTraffic(sys, 1)
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := range 120 {
				time.Sleep(250 * time.Millisecond)
				wg.Go(func() {
					_, _ = traffic.sendAttempt(call{route: "chat", head: relay.RequestHead{
						ID: fmt.Sprintf("bad-%d", i), Timeout: 3 * time.Second, Model: baseModel, Adapter: fmt.Sprintf("a%d", i%20+1),
						PromptTokens: 300, MaxTokens: 5, PromptParts: []string{"system-0", "bad"},
					}}) // its outcome is of no interest
				})
			}
		})
		traffic.run(4000)
		wg.Wait()
		var crashes, arrivals []time.Time
		for _, r := range sys.replicas {
			rec := r.Record()
			crashes, arrivals = append(crashes, rec.PromptCrashes...), append(arrivals, rec.CrashingArrivals...)
		}
		slices.SortFunc(crashes, time.Time.Compare)
		is.True(len(crashes) > 0)
		if len(crashes) > 4 {
			late := 0
			for _, at := range arrivals {
				if at.After(crashes[4].Add(3 * time.Second)) {
					late++
				}
			}
			is.True(late <= 3) // more reach engines three seconds after the fifth crash
		}
		is.True(2*traffic.result.Served >= traffic.result.Requests) // the others are served meanwhile
	})
}
