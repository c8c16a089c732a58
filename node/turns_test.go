package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/table"
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

// Guards against owners that take turns: a process or a session that takes over what an earlier one of its VM owned
// does not know when that one sent its first command, and hands the engine back at once to the owner before.
func TestOwnerKeepsItsFirstCommandAcrossSessions(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(c *leaseCluster, p *playedCommands, second *Node) *Node
	}{
		{"another process", func(c *leaseCluster, p *playedCommands, second *Node) *Node {
			i := slices.Index(c.nodes, second)
			p.kill(second)
			time.Sleep(100 * time.Millisecond)
			return c.start(i)
		}},
		{"another session", func(_ *leaseCluster, _ *playedCommands, second *Node) *Node {
			second.session.withRow(second.ctx, func(row table.Session, check table.Check) {
				row.Fenced = true
				_, _ = second.table.Commit(second.ctx, table.Tx{Checks: []table.Check{check}, Puts: []table.Put{{Key: row.Key(), Value: row.Encode()}}})
			})
			for range 3 { // finds that it is fenced, registers again, and reads its rows
				second.session.renew(second.ctx)
			}
			second.reconcileOwnership(second.ctx)
			return second
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
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
				former := p.playUntilSent(o.name, next).ownedEngine(o.name)
				again := awaitOwnership(tt.end(c, p, former.n), former)
				is.True(again != nil)
				again.n.handOver(t.Context(), again)
				p.play(6*time.Second, nil)
				is.Equal(p.violations(), nil)
			})
		})
	}
}
