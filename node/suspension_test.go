package node

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// suspend suspends a node's VM for d, and cuts it off from the store for some time after that, so
// that it does not learn at once that it was replaced. It returns the first violation.
func (c *leaseCluster) suspend(i int, d, cutAfter time.Duration) (violation string) {
	n := c.nodes[i]
	c.cutFromStore(n, cutAfter > 0)
	c.net.Freeze(n.Name())
	c.clocks[i].Suspend()
	violation = c.watch(d)
	c.clocks[i].Resume()
	c.net.Thaw(n.Name())
	if v := c.watch(cutAfter); violation == "" {
		violation = v
	}
	c.cutFromStore(n, false)
	return violation
}

// Guards against two owners of an engine after the VM of the first was suspended, which its steady clock does not count.
func TestSuspendedOwnerIsReplaced(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 20 * time.Second} {
		for _, cutAfter := range []time.Duration{0, 4 * time.Second} {
			t.Run(fmt.Sprint(d, "-", cutAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newLeaseCluster(5, 16)
					defer c.close()
					time.Sleep(10 * time.Second)
					is.Equal(c.watch(time.Second), "")
					is.Equal(c.suspend(0, d, cutAfter), "")
					is.Equal(c.watch(10*time.Second), "")
					for engine, owners := range c.owners() {
						t.Log(engine, owners)
						is.Equal(len(owners), 1)
					}
					is.Equal(len(c.owners()), 16)
				})
			})
		}
	}
}

// Guards against a lease that counts the consent of a witness whose session has ended while its VM was suspended.
func TestSuspendedWitnessDoesNotConsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(4, 8)
		defer c.close()
		time.Sleep(10 * time.Second)
		_, valid := c.nodes[1].session.identity()
		is.True(valid)
		c.clocks[1].Suspend()
		c.net.Freeze(c.nodes[1].Name())
		time.Sleep(4 * time.Second)
		c.clocks[1].Resume()
		_, valid = c.nodes[1].session.identity() // before the session is renewed
		is.True(!valid)
		c.net.Thaw(c.nodes[1].Name())
	})
}

// Guards against settings that count as recent although the VM was suspended since they were compared.
func TestSuspendedNodeStopsAdmitting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := &standin.VMClock{}
		n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: vm.Clock()})
		n.tokensKnown.Store(true)
		n.recordSettingsContact(n.bootNow())
		is.Equal(n.admissionBlocker(), "")
		vm.Suspend()
		time.Sleep(n.cfg.MaxSettingsAge + time.Second)
		vm.Resume()
		is.True(n.admissionBlocker() != "")
	})
}

// Guards against seconds without an owner while a node whose VM was suspended does not know that it was fenced.
func TestSessionIsRenewedWhenTheVMResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var resumed atomic.Int64
		c := startLeaseCluster(&leaseCluster{table: &standin.Table{}, configure: func(cfg *Config) {
			if cfg.Name == "n0" {
				cfg.OnResume = func() { resumed.Add(1) }
			}
		}}, 5, 16)
		defer c.close()
		time.Sleep(10 * time.Second)
		is.Equal(c.suspend(0, 8*time.Second, 0), "")
		time.Sleep(tickInterval + joinAttempts*joinPause)
		is.True(c.nodes[0].session.leaseValid())
		is.Equal(resumed.Load(), int64(1))
	})
}
