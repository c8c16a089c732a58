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
