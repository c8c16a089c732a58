package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
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
	"github.com/vanilladrift/vanilladrift/standin"
)

// minCommandDelay and maxCommandDelay bound how late a command arrives. Its sender gives it up
// before.
const (
	minCommandDelay = 300 * time.Millisecond
	maxCommandDelay = 1200 * time.Millisecond
)

// Guards against commands that arrive after those of the next owner, since their sender released
// the engine while they were on their way.
func TestLateCommandsArriveBeforeTheNextOwners(t *testing.T) {
	playLateCommands(t, 8, func(l *lateCommands) {
		l.slowLinks()
		time.Sleep(l.between(0, minCommandDelay))
		l.stopOwner()
	})
}

// Guards against commands that an engine reads after those of the next owner, since their sender
// released the engine when it gave them up.
func TestCommandsThatEnginesReadLateArriveBeforeTheNextOwners(t *testing.T) {
	playLateCommands(t, 8, func(l *lateCommands) {
		for _, r := range l.replicas {
			r.SetFault(standin.ReplicaFault{HoldCommand: l.lateness})
		}
		time.Sleep(l.between(0, minCommandDelay))
		l.stopOwner()
	})
}

// Guards against commands that arrive after those of the next owner, since the lease of their
// sender ended while they were on their way.
func TestLateCommandsOfOwnersWithoutTheStoreArriveBeforeTheNextOwners(t *testing.T) {
	playLateCommands(t, 4, func(l *lateCommands) {
		l.setCut(true)
		time.Sleep(l.between(0, 2*time.Second))
		l.slowLinks()
		time.Sleep(10 * time.Second)
		l.setCut(false)
	})
}

// lateCommands is a system of which one daemon is disturbed.
type lateCommands struct {
	*platformSystem
	is      *is.I
	pipes   *standin.PipeNetwork
	names   []string // of the daemons
	owner   int      // the daemon that is disturbed
	address string   // of that daemon, for its peers

	mu     sync.Mutex
	rng    *rand.Rand
	dialed map[string]map[string]bool // addresses by daemon, without those of engines
	isCut  bool                       // between that daemon and all but engines and callers
}

// playLateCommands plays load on a system which loses an owner, for a number of seeds.
func playLateCommands(t *testing.T, seeds uint64, lose func(l *lateCommands)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startLateCommands(t, seed)
				defer checkOwners(t, l.platformSystem)
				defer time.Sleep(time.Minute) // lets background goroutines time out
				defer l.close()
				l.play(lose)
			})
		})
	}
}

func startLateCommands(t *testing.T, seed uint64) *lateCommands {
	l := &lateCommands{
		is: is.New(t), pipes: &standin.PipeNetwork{}, rng: rand.New(rand.NewPCG(seed, 7)), dialed: map[string]map[string]bool{},
	}
	var err error
	l.platformSystem, err = newPlatform(entry.Network{Listen: l.pipes.Listen, Dial: l.pipes.Dial, Clock: clock.Virtual()})
	l.is.NoErr(err)
	for i := range daemonCount {
		name := fmt.Sprintf("front-%d", i+1)
		l.names, l.dialed[name] = append(l.names, name), map[string]bool{}
	}
	for _, name := range l.names {
		l.network.Dial = func(ctx context.Context, _, address string) (net.Conn, error) { return l.dial(ctx, name, address) }
		storeAddr, err := l.serve(l.store) // its own, so that its connections can be silenced alone
		l.is.NoErr(err)
		l.is.NoErr(l.startDaemon(name, storeAddr, io.Discard))
	}
	l.is.NoErr(l.waitReady())
	return l
}

func (l *lateCommands) dial(ctx context.Context, daemon, address string) (net.Conn, error) {
	l.mu.Lock()
	isEngine := slices.ContainsFunc(l.replicas, func(r *standin.Replica) bool { return r.Self.Address == address })
	if !isEngine {
		l.dialed[daemon][address] = true
	}
	isCut := l.isCut && (daemon == l.names[l.owner] && !isEngine || address == l.address)
	l.mu.Unlock()
	if isCut {
		time.Sleep(minCommandDelay)
		return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
	}
	return l.pipes.DialFrom(ctx, daemon, address)
}

func (l *lateCommands) play(lose func(l *lateCommands)) {
	traffic := newPlatformTraffic(l.platformSystem, 1)
	traffic.run(300)
	time.Sleep(ownerAlternationGap) // from now on the next owner need not wait
	var load sync.WaitGroup
	defer load.Wait()
	var ended atomic.Bool
	defer ended.Store(true)
	for range 2 {
		load.Go(func() {
			for !ended.Load() {
				traffic.run(100)
			}
		})
	}
	owned := l.ownedEngines()[0]
	l.owner, l.address = slices.Index(l.names, owned.Node), owned.Address
	lose(l)
	time.Sleep(2 * maxCommandDelay)
	changed := func(r *standin.Replica) bool {
		return slices.ContainsFunc(r.Record().Commands, func(a standin.Arrival) bool { return a.FencingToken > owned.FencingToken })
	}
	l.is.True(slices.ContainsFunc(l.replicas, changed)) // no other owner sent commands
}

// slowLinks makes the links from the owner to the engines slow, as when packets are lost.
func (l *lateCommands) slowLinks() {
	for _, r := range l.replicas {
		l.pipes.SetDelay(l.names[l.owner], r.Self.Address, l.lateness)
	}
}

// stopOwner stops the owner, as SIGTERM does.
func (l *lateCommands) stopOwner() {
	l.daemons[l.owner].Close()
	l.daemons[l.owner] = nil
}

// setCut cuts the owner from the store and from the other daemons, or ends that.
func (l *lateCommands) setCut(isCut bool) {
	l.mu.Lock()
	l.isCut = isCut
	addresses := slices.Collect(maps.Keys(l.dialed[l.names[l.owner]]))
	l.mu.Unlock()
	if isCut {
		for _, address := range append(addresses, l.address) {
			l.pipes.Silence(address)
		}
	}
}

// lateness returns a random delay of a command: none for every other one.
func (l *lateCommands) lateness() time.Duration {
	if l.between(0, 2) == 0 {
		return 0
	}
	return l.between(minCommandDelay, maxCommandDelay)
}

// between returns a random duration.
func (l *lateCommands) between(low, high time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return low + time.Duration(l.rng.Int64N(int64(high-low)))
}
