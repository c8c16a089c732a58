//go:build !race

package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/table"
)

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
