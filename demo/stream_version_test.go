package demo

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// versionPlay is a system whose daemons may lose power, before engines of two software versions.
type versionPlay struct {
	*platformSystem
	is       *is.I
	networks []*mortalNetwork // of the daemons
	pipes    *standin.PipeNetwork
	traffic  *platformTraffic
	starts   int
}

func playVersions(t *testing.T, play func(p *versionPlay)) *PlatformResult {
	return playVersionsOn(t, daemonCount, play)
}

func playVersionsOn(t *testing.T, daemons int, play func(p *versionPlay)) *PlatformResult {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2)) // more threads add only contention in virtual time
	var result PlatformResult
	synctest.Test(t, func(t *testing.T) {
		p := &versionPlay{is: is.New(t), pipes: &standin.PipeNetwork{}}
		var err error
		p.platformSystem, err = newPlatform(entry.Network{Listen: p.pipes.Listen, Dial: p.pipes.Dial, Clock: clock.Virtual()})
		p.is.NoErr(err)
		p.is.NoErr(p.startEngine()) // two of each version
		for i := range daemons {
			p.startMortal(i)
		}
		defer checkOwners(t, p.platformSystem)
		defer time.Sleep(time.Minute) // lets background goroutines time out
		defer p.close()
		p.is.NoErr(p.waitReady())
		p.traffic = newPlatformTraffic(p.platformSystem, 1)
		p.traffic.maxAttempts = 20
		play(p)
		p.traffic.collect()
		result = p.traffic.result
	})
	return &result
}

// startMortal starts a daemon in the place of the ith, or as the next one.
func (p *versionPlay) startMortal(i int) {
	n := &mortalNetwork{Network: entry.Network{Listen: p.pipes.Listen, Dial: p.pipes.Dial, Clock: clock.Virtual()}}
	p.network = n.network()
	p.is.NoErr(p.startDaemon(fmt.Sprintf("front-%d", i+1), p.storeAddr, io.Discard))
	last := len(p.daemons) - 1
	if i < last {
		p.daemons[i], p.daemons = p.daemons[last], p.daemons[:last]
		p.callerAddrs[i], p.callerAddrs = p.callerAddrs[last], p.callerAddrs[:last]
		p.readinessAddrs[i], p.readinessAddrs = p.readinessAddrs[last], p.readinessAddrs[:last]
		p.networks[i] = n
		return
	}
	p.networks = append(p.networks, n)
}

// kill ends daemons without warning, and starts them again.
func (p *versionPlay) kill(downtime time.Duration, daemons ...int) {
	for _, i := range daemons {
		p.networks[i].kill()
		go p.daemons[i].Close() // of the process that is gone; frees its goroutines
	}
	time.Sleep(downtime)
	for _, i := range daemons {
		p.startMortal(i)
		p.traffic.replaceDaemon(i, p.callerAddrs[i])
	}
}

// during calls f while n requests are sent.
func (p *versionPlay) during(n int, f func()) {
	var wg sync.WaitGroup
	wg.Go(func() { p.traffic.run(n) })
	f()
	wg.Wait()
}

// replaceDaemon makes callers send to another address of a daemon.
func (t *platformTraffic) replaceDaemon(i int, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerAddrs[i] = address
}

// Guards against streams that hold events of two software versions, since the next server was chosen by its load alone.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	cutAll := func(p *versionPlay) {
		for _, r := range p.replicas {
			r.SetFault(standin.ReplicaFault{CutStreams: 1 << 20})
		}
	}
	endAll := func(p *versionPlay) {
		p.during(4000, func() {
			for range 3 {
				time.Sleep(5 * time.Second)
				p.kill(200*time.Millisecond, 0, 1, 2)
			}
		})
	}
	t.Run("all nodes end, and all servers have one version", func(t *testing.T) {
		defer func(builds []string) { softwareVersions = builds }(softwareVersions)
		softwareVersions = []string{"v1"}
		is := is.New(t)
		r := playVersions(t, endAll)
		t.Logf("%d streams taken up, %d went on", r.TakenUp, r.WentOn)
		is.True(r.TakenUp > 0)
		is.True(4*r.WentOn >= 3*r.TakenUp)
	})
	for _, tt := range []struct {
		name string
		play func(p *versionPlay)
		// mayLose is set if no node lives that saw the streams begin.
		mayLose bool
	}{
		{"servers break them off", func(p *versionPlay) {
			cutAll(p)
			p.traffic.run(1000)
		}, false},
		{"servers start again in the other version, and their rows follow", func(p *versionPlay) {
			cutAll(p)
			p.during(4000, func() {
				for i := range 8 {
					r := p.replicas[i%len(p.replicas)]
					r.RestartAs(softwareVersions[(i+1+i/len(p.replicas))%len(softwareVersions)], 4*time.Second)
					time.Sleep(5 * time.Second)
				}
			})
		}, false},
		{"nodes end one after the other", func(p *versionPlay) {
			p.during(4000, func() {
				for i := range 2 * daemonCount {
					time.Sleep(3 * time.Second)
					p.kill(time.Second, i%daemonCount)
				}
			})
		}, false},
		{"all nodes end", endAll, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := playVersions(t, tt.play)
			t.Logf("%d of %d requests served; %d streams taken up, %d went on, %d of two versions", r.Served, r.Requests, r.TakenUp, r.WentOn, r.MixedBuilds)
			is.True(r.TakenUp > 0)
			is.Equal(r.MixedBuilds, 0)
			is.True(tt.mayLose || 2*r.WentOn >= r.TakenUp)
			is.True(2*r.Served >= r.Requests)
		})
	}
}

// cutOff cuts a daemon off from the store and the other daemons, but not from callers and engines,
// while f runs.
func (p *versionPlay) cutOff(i int, f func()) {
	isCut := map[string]bool{p.storeAddr: true}
	for _, row := range p.store.Rows(table.SessionPrefix) {
		session, err := table.DecodeSession(row)
		p.is.NoErr(err)
		isCut[session.Address] = true
	}
	p.networks[i].cut(func(address string) bool { return isCut[address] })
	f()
	p.networks[i].cut(nil)
}

// startEngines starts further engines of a software version.
func (p *versionPlay) startEngines(n int, build string) {
	defer func(builds []string) { softwareVersions = builds }(softwareVersions)
	softwareVersions = []string{build}
	p.network = entry.Network{Listen: p.pipes.Listen, Dial: p.pipes.Dial, Clock: clock.Virtual()}
	for range n {
		p.is.NoErr(p.startEngine())
	}
}

// Guards against streams that go on at another software version at a node that could not read of that version,
// as it is cut off, and takes the silence of the other nodes for their not knowing of one.
func TestIsolatedNodeDoesNotGuessTheVersionOfStreams(t *testing.T) {
	defer func(builds []string) { softwareVersions = builds }(softwareVersions)
	softwareVersions = []string{"v1"}
	for _, tt := range []struct {
		name string
		// listed is the time from when the newer version comes into service to the cut.
		listed time.Duration
	}{
		{"before the newer version", -500 * time.Millisecond},
		{"as the newer version comes", 0},
		{"before its streams begin", 500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := playVersions(t, func(p *versionPlay) {
				release := func() { p.startEngines(4, "v2") }
				p.traffic.baseModelOnly, p.traffic.lostConnections = true, 0.3 // the node goes on to serve them without owners
				p.during(4000, func() {
					time.Sleep(time.Second)
					if tt.listed >= 0 {
						release()
						time.Sleep(tt.listed)
					}
					p.cutOff(0, func() {
						if tt.listed < 0 {
							time.Sleep(-tt.listed)
							release()
						}
						time.Sleep(12 * time.Second)
					})
				})
			})
			t.Logf("%d of %d requests served; %d streams taken up, %d went on, %d of two versions", r.Served, r.Requests, r.TakenUp, r.WentOn, r.MixedBuilds)
			is.True(r.TakenUp > 0)
			is.Equal(r.MixedBuilds, 0)
			is.True(2*r.Served >= r.Requests)
		})
	}
}

// Guards against take-ups that are rejected for want of certainty during an outage of the store, in which all nodes live
// and none can have begun streams at a version that the others do not know.
func TestStreamsAreTakenUpWhileTheStoreIsLost(t *testing.T) {
	defer func(builds []string) { softwareVersions = builds }(softwareVersions)
	softwareVersions = []string{"v1"}
	is := is.New(t)
	r := playVersions(t, func(p *versionPlay) {
		p.traffic.baseModelOnly, p.traffic.lostConnections = true, 0.3
		p.during(3000, func() {
			time.Sleep(time.Second)
			for _, n := range p.networks {
				n.cut(func(address string) bool { return address == p.storeAddr })
			}
			time.Sleep(10 * time.Second)
			for _, n := range p.networks {
				n.cut(nil)
			}
		})
	})
	t.Logf("%d of %d requests served; %d streams taken up, %d went on; refused %v", r.Served, r.Requests, r.TakenUp, r.WentOn, r.Refused)
	is.True(r.TakenUp > 0)
	is.True(r.Refused["503 chat"]*10 <= r.TakenUp)
}
