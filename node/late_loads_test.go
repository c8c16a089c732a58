//go:build !race

package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against late loads that the next owner does not know of, after each end of an ownership: it fills slots that
// they need.
func TestLateLoadsAreHandedOn(t *testing.T) {
	for _, tt := range []struct {
		name      string
		lose      func(c *leaseCluster, n *Node, o *ownedEngine)
		isWritten bool // the ownership row, before
		areKnown  bool // all of them
	}{
		{"released", func(_ *leaseCluster, n *Node, o *ownedEngine) { n.handOver(n.ctx, o) }, false, true},
		{"killed", func(c *leaseCluster, n *Node, _ *ownedEngine) { c.kill(n) }, true, false},
		{"restored", func(c *leaseCluster, n *Node, _ *ownedEngine) {
			c.restore(c.store.Copy(), 0)
			n.pollMembers(n.ctx)
		}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newUnansweredCluster()
				defer c.close()
				time.Sleep(20 * time.Second)
				n, o := c.ownerOf("e0")
				sendUnanswered(o)
				is.Equal(len(o.lateLoads(time.Now())), 1)
				if tt.isWritten {
					time.Sleep(time.Second)
				}
				token := o.token
				tt.lose(c, n, o)
				_, ok := c.nextSender("e0", token)
				is.True(ok)
				for _, other := range c.nodes {
					next := other.ownedEngine("e0")
					if next == nil || next.token <= token {
						continue
					}
					is.Equal(len(next.lateLoads(time.Now())), 1)
					is.Equal(next.seq.MayHaveUnknownLoad(time.Now()), !tt.areKnown)
				}
			})
		})
	}
}
