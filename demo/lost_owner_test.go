//go:build !race

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

// takeoverTime is longer than it takes until engines of a daemon that is cut off have other owners.
const takeoverTime = 10 * time.Second

// Guards against commands that arrive after those of the next owner, since their sender released
// the engine while they were on their way.
func TestLateCommandsArriveBeforeTheNextOwners(t *testing.T) {
	playLostOwner(t, 8, func(l *lostOwner) {
		l.startLoad()
		l.slowLinks()
		time.Sleep(l.between(0, minCommandDelay))
		l.stopOwner()
	})
}

// Guards against commands that an engine reads after those of the next owner, since their sender
// released the engine when it gave them up.
func TestCommandsThatEnginesReadLateArriveBeforeTheNextOwners(t *testing.T) {
	playLostOwner(t, 8, func(l *lostOwner) {
		l.startLoad()
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
	playLostOwner(t, 4, func(l *lostOwner) {
		l.startLoad()
		l.setCut(true)
		time.Sleep(l.between(0, 2*time.Second))
		l.slowLinks()
		time.Sleep(takeoverTime)
	})
}

// Guards against owners that come back soon after the first command of the owner that replaced
// them, since it had taken the engine over long before.
func TestOwnersDoNotTakeTurnsAfterAnIdleTakeover(t *testing.T) {
	playLostOwner(t, 4, func(l *lostOwner) {
		l.setCut(true)
		time.Sleep(takeoverTime)
		l.setCut(false)
		time.Sleep(l.between(0, time.Second))
		l.startLoad()
		time.Sleep(ownerAlternationGap)
	})
}

// lostOwner is a system that loses one daemon, which owns engines.
type lostOwner struct {
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

	load    sync.WaitGroup
	stopped atomic.Bool // the load
}

// playLostOwner plays the loss of an owner that has sent commands, for a number of seeds.
func playLostOwner(t *testing.T, seeds uint64, lose func(l *lostOwner)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startLostOwner(t, seed)
				defer checkOwners(t, l.platformSystem)
				defer time.Sleep(time.Minute) // lets background goroutines time out
				defer l.close()
				l.play(lose)
			})
		})
	}
}

func startLostOwner(t *testing.T, seed uint64) *lostOwner {
	l := &lostOwner{
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

func (l *lostOwner) dial(ctx context.Context, daemon, address string) (net.Conn, error) {
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

func (l *lostOwner) play(lose func(l *lostOwner)) {
	newPlatformTraffic(l.platformSystem, 1).run(300)
	time.Sleep(ownerAlternationGap) // from now on the next owner need not wait
	owned := l.ownedEngines()[0]
	l.owner, l.address = slices.Index(l.names, owned.Node), owned.Address
	defer l.load.Wait()
	defer l.stopped.Store(true)
	lose(l)
	for start := time.Now(); !l.hasNextOwner(owned.FencingToken) && time.Since(start) < takeoverTime; {
		time.Sleep(100 * time.Millisecond)
	}
	l.is.True(l.hasNextOwner(owned.FencingToken)) // no other owner sent commands
	time.Sleep(2 * maxCommandDelay)
}

// hasNextOwner reports whether commands arrived under a higher token.
func (l *lostOwner) hasNextOwner(token int64) bool {
	return slices.ContainsFunc(l.replicas, func(r *standin.Replica) bool {
		return slices.ContainsFunc(r.Record().Commands, func(a standin.Arrival) bool { return a.FencingToken > token })
	})
}

// startLoad sends requests until the play ends.
func (l *lostOwner) startLoad() {
	traffic := newPlatformTraffic(l.platformSystem, 2)
	for range 2 {
		l.load.Go(func() {
			for !l.stopped.Load() {
				traffic.run(100)
			}
		})
	}
}

// slowLinks makes the links from the owner to the engines slow, as when packets are lost.
func (l *lostOwner) slowLinks() {
	for _, r := range l.replicas {
		l.pipes.SetDelay(l.names[l.owner], r.Self.Address, l.lateness)
	}
}

// stopOwner stops the owner, as SIGTERM does.
func (l *lostOwner) stopOwner() {
	l.daemons[l.owner].Close()
	l.daemons[l.owner] = nil
}

// setCut cuts the owner from the store and from the other daemons, or ends that.
func (l *lostOwner) setCut(isCut bool) {
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
func (l *lostOwner) lateness() time.Duration {
	if l.between(0, 2) == 0 {
		return 0
	}
	return l.between(minCommandDelay, maxCommandDelay)
}

// between returns a random duration.
func (l *lostOwner) between(low, high time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return low + time.Duration(l.rng.Int64N(int64(high-low)))
}
