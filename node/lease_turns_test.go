package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against VMs that take turns at an engine: the first command of an owner came in the last moment of its lease.
func TestOwnersDoNotTakeTurnsAfterALease(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 200 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaseCluster(5, 8)
				defer c.close()
				time.Sleep(10*time.Second + offset)
				owner, o := c.ownerOf("e0")
				c.net.Freeze(owner.Name()) // its peers find it down
				var last time.Time
				for ; owner.session.leaseValid(); time.Sleep(5 * time.Millisecond) {
					if o.beginCommand() {
						last = time.Now()
						o.endCommand()
					}
				}
				is.True(!last.IsZero())
				next, ok := c.nextSender(o.name, o.token)
				is.True(ok)
				t.Log("the next owner may send after", next.Sub(last))
				is.True(next.Sub(last) >= 3*time.Second)
			})
		})
	}
}

// Guards against VMs that take turns: nothing is known of when an owner took over whose session was removed or replaced.
func TestOwnerWithoutItsSessionIsFollowedAfterTheGap(t *testing.T) {
	is := is.New(t)
	n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual(), OwnerAlternationGap: 3 * time.Second, LeaseTTL: 2500 * time.Millisecond, LeaseMargin: 300 * time.Millisecond})
	old := table.Owner{Node: "other", Process: "p1"}
	is.Equal(n.commandDelayAfter(old), n.cfg.OwnerAlternationGap)
	n.members.list = []member{{Session: table.Session{Node: "other", Process: "p2"}}}
	is.Equal(n.commandDelayAfter(old), n.cfg.OwnerAlternationGap)
	n.members.list[0].Process = old.Process
	is.Equal(n.commandDelayAfter(old), n.cfg.OwnerAlternationGap-2*n.cfg.LeaseMargin)
}
