package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
