//go:build !race

package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a lease that counts from a renewal that was not applied. The response to one
// renewal is lost, and so is the read that follows; the next one fails, since the row has
// changed, and reads back the contents of the first.
func TestLostRenewalExtendsNoLease(t *testing.T) {
	for _, lost := range []time.Duration{500, 1500, 2000, 2500, 3000, 3500, 4000} {
		for _, offset := range []time.Duration{0, 450, 900, 1350} {
			t.Run(fmt.Sprint(lost, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newStoreCluster(5, 16)
					defer c.close()
					is.Equal(c.watch(10*time.Second+offset*time.Millisecond), "")
					i := slices.IndexFunc(c.nodes, func(n *Node) bool { return len(n.ownedEngines()) > 0 })
					x, tbl := c.nodes[i], c.lossy[i]
					tbl.losing.Store(true)
					for _, n := range c.nodes {
						if n != x {
							c.net.SetBlocked(n.Name(), x.Name(), true)
							c.net.SetBlocked(x.Name(), n.Name(), true)
						}
					}
					for len(tbl.applied) == 0 {
						time.Sleep(10 * time.Millisecond)
					}
					violation := c.watch(lost * time.Millisecond)
					tbl.losing.Store(false)
					is.Equal(violation+c.watch(8*time.Second), "")
				})
			})
		}
	}
}

// Guards against a lease that counts from a renewal that conflicted: the row that it reads back
// is of an earlier one, which was applied and got no response.
func TestLeaseDoesNotCountFromRenewalThatConflicts(t *testing.T) {
	testOnStore(t, 1, 1, func(is *is.I, c *leaseCluster) {
		time.Sleep(5*time.Second + 500*time.Millisecond) // between two renewals
		n, tbl := c.nodes[0], c.lossy[0]
		tbl.losing.Store(true)
		for len(tbl.applied) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		applied := time.Now()
		tbl.losing.Store(false)
		validFor := n.cfg.LeaseTTL - n.cfg.LeaseMargin
		for time.Since(applied) < 2*n.cfg.RenewEvery-50*time.Millisecond { // until the second renewal after it
			is.True(n.session.leaseLeft() <= validFor-time.Since(applied))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(n.cfg.RenewEvery / 2)
		is.True(n.session.leaseValid()) // its renewal was applied
	})
}
