//go:build !race

package node

import (
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
