package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against owners that take turns: one ends soon after its takeover, and the owner before it returns.
func TestOwnerThatEndsAfterItsTakeoverIsNotFollowedTooSoon(t *testing.T) {
	for _, cut := range []bool{false, true} { // the owner that ends from the other VMs but one, before
		for offset := time.Duration(0); offset < 5*time.Second; offset += 420 * time.Millisecond {
			t.Run(fmt.Sprint(cut, "-", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newStaggeredCluster(7, 14)
					defer c.close()
					time.Sleep(20*time.Second + offset)
					p := newPlayedCommands(c)
					first := c.nodes[0]
					o, next := preferredEngine(first)
					is.True(o != nil)
					for _, n := range c.nodes[1:] {
						c.net.SetBlocked(n.Name(), next, cut)
						c.net.SetBlocked(next, n.Name(), cut)
					}
					p.play(1200*time.Millisecond, nil)
					first.handOver(t.Context(), o)
					p.kill(p.playUntilSent(o.name, next))
					p.play(6*time.Second, nil)
					is.True(first.ownedEngine(o.name) != nil)
					for _, v := range p.violations() {
						t.Error(v)
					}
				})
			})
		}
	}
}

// Guards against owners that take turns: a process that takes over what an earlier one of its VM owned
// does not know that the owner before had just been replaced.
func TestRestartedOwnerKeepsTheDelayAfterTheOwnerBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newStaggeredCluster(5, 10)
		defer c.close()
		time.Sleep(20 * time.Second)
		p := newPlayedCommands(c)
		p.play(time.Second, nil)
		first := c.nodes[0]
		o, next := preferredEngine(first)
		is.True(o != nil)
		first.handOver(t.Context(), o)
		second := p.playUntilSent(o.name, next)
		second.HandOverEngines(t.Context()) // a planned stop
		p.play(500*time.Millisecond, nil)
		is.True(first.ownedEngine(o.name) != nil && !first.ownedEngine(o.name).canSendCommand()) // it waits
		p.kill(first)
		p.play(100*time.Millisecond, nil)
		c.start(0)
		p.play(6*time.Second, nil)
		for _, v := range p.violations() {
			t.Error(v)
		}
	})
}

// Guards against owners that take turns: an owner that had to wait before its first command hands the engine
// back soon after that.
func TestDelayAfterAnOwnerCountsFromItsFirstCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newStaggeredCluster(5, 10)
		defer c.close()
		time.Sleep(20 * time.Second)
		p := newPlayedCommands(c)
		p.play(time.Second, nil)
		first := c.nodes[0]
		o, next := preferredEngine(first)
		is.True(o != nil)
		first.handOver(t.Context(), o)
		second := p.playUntilSent(o.name, next)
		third, _ := second.members.nextOwner(o.name, "")
		second.handOver(t.Context(), second.ownedEngine(o.name))
		p.playUntilSent(o.name, third.Node)
		back := p.node(third.Node)
		again, _ := back.members.nextOwner(o.name, "")
		back.handOver(t.Context(), back.ownedEngine(o.name))
		p.playUntilSent(o.name, again.Node)
		for _, v := range p.violations() {
			t.Error(v)
		}
	})
}
