//go:build !race

package demo

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// cutPlay is a system of which some daemons are cut off from servers.
type cutPlay struct {
	*versionPlay
	how     cutKind
	servers []*standin.Replica
	daemons []int // that are cut off
}

func (p *cutPlay) cut() {
	addresses := make(map[string]bool)
	for _, r := range p.servers {
		addresses[r.Self.Address] = true
	}
	for _, i := range p.daemons {
		p.networks[i].cutSo(p.how, func(address string) bool { return addresses[address] })
	}
}

func (p *cutPlay) heal() {
	for _, i := range p.daemons {
		p.networks[i].cut(nil)
	}
}

// firstTries sends n requests once each to the daemons that are cut off, and to the others, and returns how
// many of them were served.
func (p *cutPlay) firstTries(n int) (cut, others int) {
	var wg sync.WaitGroup
	send := func(served *int, isCut bool) {
		t := newPlatformTraffic(p.platformSystem, 2)
		t.maxAttempts, t.callerAddrs, t.atMostOnce, t.notRun = 1, nil, p.traffic.atMostOnce, p.traffic.notRun
		for i, address := range p.callerAddrs {
			if slices.Contains(p.daemons, i) == isCut {
				t.callerAddrs = append(t.callerAddrs, address)
			}
		}
		p.traffic.mu.Lock()
		t.lastRequestNumber = p.traffic.lastRequestNumber
		p.traffic.lastRequestNumber += n
		p.traffic.mu.Unlock()
		wg.Go(func() {
			t.run(n)
			*served = t.result.Served
			p.is.Equal(t.result.violations(), nil)
		})
	}
	send(&cut, true)
	wg.Wait()
	send(&others, false)
	wg.Wait()
	return cut, others
}

// Guards against callers that are served far worse than others, since their node has lost its path to the
// servers that the other nodes reach.
func TestNodeWithoutAPathToServersServesItsCallers(t *testing.T) {
	const n, daemons = 300, 4
	engines := func(p *versionPlay) []*standin.Replica { return p.replicas }
	ledgers := func(p *versionPlay) []*standin.Replica { return p.ledgers }
	all := func(p *versionPlay) []*standin.Replica { return slices.Concat(p.replicas, p.ledgers) }
	for _, tt := range []struct {
		name    string
		how     cutKind
		servers func(p *versionPlay) []*standin.Replica
		daemons []int
	}{
		{"refused, all", cutRefuses, all, []int{0}},
		{"refused, engines", cutRefuses, engines, []int{0, 1}},
		{"ended, all", cutEnds, all, []int{0}},
		{"ended, plain servers", cutEnds, ledgers, []int{1, 2}},
		{"ended, all but one daemon", cutEnds, all, []int{0, 1, 2}},
		{"hanging, all", cutHangs, all, []int{0}},
		{"hanging, plain servers", cutHangs, ledgers, []int{0, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := playVersionsOn(t, daemons, func(vp *versionPlay) {
				p := &cutPlay{vp, tt.how, tt.servers(vp), tt.daemons}
				p.traffic.run(n)
				for range 2 {
					p.cut()
					for end := time.Now().Add(healthyAfter); time.Now().Before(end); {
						p.traffic.run(workers)
					}
					cut, others := p.firstTries(n)
					t.Logf("served at the first attempt: %d of %d at daemons that are cut off, %d of %d at others", cut, n, others, n)
					is.True(3*cut >= 2*others)
					is.True(n-cut <= 10+n/50)
					p.heal()
					p.traffic.run(n)
				}
			})
			is.Equal(r.violations(), nil)
		})
	}
}
