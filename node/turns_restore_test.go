//go:build !race

package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against owners that take turns: one that takes over again what it owned when the store was
// restored forgets that the owner before had just been replaced.
func TestOwnerKeepsTheDelayAfterTheOwnerBeforeAcrossARestore(t *testing.T) {
	testOnStore(t, 5, 10, func(is *is.I, c *leaseCluster) {
		time.Sleep(20 * time.Second)
		p := newPlayedCommands(c)
		p.play(time.Second, nil)
		first := c.nodes[0]
		o, next := preferredEngine(first)
		is.True(o != nil)
		first.handOver(first.ctx, o)
		second := p.playUntilSent(o.name, next)
		second.HandOverEngines(second.ctx) // a planned stop
		p.play(500*time.Millisecond, nil)
		is.True(first.ownedEngine(o.name) != nil && !first.ownedEngine(o.name).canSendCommand()) // it waits
		c.restore(c.store.Copy(), 0)
		p.play(6*time.Second, nil)
		is.Equal(p.violations(), nil)
	})
}

// Guards against owners that take turns: one that takes over again what it owned when the store was restored forgets
// when it sent its first command, and hands the engine back at once to the owner before.
func TestOwnerKeepsItsFirstCommandAcrossARestore(t *testing.T) {
	for _, restores := range []int{1, 2} {
		t.Run(fmt.Sprint(restores), func(t *testing.T) {
			testOnStore(t, 5, 10, func(is *is.I, c *leaseCluster) {
				time.Sleep(20 * time.Second)
				p := newPlayedCommands(c)
				p.play(time.Second, nil)
				first := c.nodes[0]
				o, next := preferredEngine(first)
				is.True(o != nil)
				first.handOver(first.ctx, o)
				second := p.playUntilSent(o.name, next)
				for range restores {
					former := second.ownedEngine(o.name)
					c.restore(c.store.Copy(), 0)
					second.pollMembers(second.ctx) // learns of the restore
					again := awaitOwnership(second, former)
					is.True(again != nil)
				}
				second.handOver(second.ctx, second.ownedEngine(o.name))
				p.play(6*time.Second, nil)
				is.Equal(p.violations(), nil)
			})
		})
	}
}
