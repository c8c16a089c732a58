package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// ownerOf returns the node that owns an engine, and its ownership.
func (c *leaseCluster) ownerOf(name string) (*Node, *ownedEngine) {
	i := slices.IndexFunc(c.nodes, func(n *Node) bool { return n.ownedEngine(name) != nil })
	return c.nodes[i], c.nodes[i].ownedEngine(name)
}

// Guards against two senders of commands to an engine: the session was removed while a handover still waited for a command.
func TestStopBesideHandoverHasOneSender(t *testing.T) {
	for _, command := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second} {
		for _, grace := range []time.Duration{3 * time.Second, 4 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprint(command, "-", grace), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newLeaseCluster(5, 16)
					defer c.close()
					is.Equal(c.watch(10*time.Second), "")
					leaving, o := c.ownerOf("e0")
					is.True(o.beginCommand())
					time.AfterFunc(command, o.endCommand)
					ctx, cancel := context.WithTimeout(t.Context(), grace)
					defer cancel()
					go leaving.HandOverEngines(ctx)
					is.Equal(c.watch(2700*time.Millisecond), "")
					go func() { is.NoErr(leaving.Close(ctx)) }()
					is.Equal(c.watch(15*time.Second), "")
					next, _ := c.ownerOf("e0")
					is.True(next != leaving)
				})
			})
		}
	}
}

// Guards against a stop that removes the session while a handover still has to release its engine.
func TestStopWaitsForHandoverInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(5, 16)
		defer c.close()
		time.Sleep(30*time.Second + 700*time.Millisecond) // between two polls
		leaving, o := c.ownerOf("e0")
		is.NoErr(o.rowLock.Acquire(t.Context(), 1)) // the row is being written
		go leaving.HandOverEngines(t.Context())
		closed := make(chan error, 1)
		go func() { closed <- leaving.Close(t.Context()) }()
		time.Sleep(leaving.cfg.DrainGrace + 500*time.Millisecond)
		is.Equal(len(closed), 0)
		is.True(leaving.session.leaseValid() && !o.canSendCommand())
		o.rowLock.Release(1)
		time.Sleep(100 * time.Millisecond)
		is.NoErr(<-closed)
		is.Equal(len(c.owners()["e0"]), 1)
	})
}

// Guards against engines that wait for their release, since a command to another engine has no response.
func TestCommandDelaysHandoverOfNoOtherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(3, 24)
		defer c.close()
		is.Equal(c.watch(10*time.Second+700*time.Millisecond), "") // between two polls
		leaving := c.nodes[0]
		engines := leaving.ownedEngines()
		is.True(len(engines) > 5)
		for _, o := range engines {
			is.True(o.beginCommand())
		}
		go leaving.HandOverEngines(t.Context())
		is.Equal(c.watch(time.Second), "")
		is.Equal(len(leaving.claimableEngines()), 0)
		for i, o := range engines {
			o.endCommand()
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(leaving.ownedEngines()), len(engines)-i-1)
		}
		is.Equal(c.watch(time.Second), "")
		is.Equal(len(c.owners()), len(c.docs))
	})
}
