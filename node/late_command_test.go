package node

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	unansweredTimeout = 300 * time.Millisecond // of a command's call
	lateArrival       = 600 * time.Millisecond // of a command after the end of its call
	recoveryTime      = 12 * time.Second       // within which the platform asks for service after a fault
)

// unansweredSequencer returns a sequencer whose commands get no response.
func unansweredSequencer(settings.BackendServer) *engine.Sequencer {
	return &engine.Sequencer{
		FetchState: func(context.Context) (engine.State, error) {
			return engine.State{Boot: "1", Models: []string{"m"}}, nil
		},
		Send: func(ctx context.Context, _ engine.Command) (engine.Reply, error) {
			ctx, cancel := context.WithTimeout(ctx, unansweredTimeout)
			defer cancel()
			<-ctx.Done()
			return "", errors.New("no response")
		},
	}
}

// newUnansweredCluster returns a cluster on the platform's store whose engines answer no command.
func newUnansweredCluster() *leaseCluster {
	return startLeaseCluster(&leaseCluster{table: &standin.Table{}, store: &standin.Store{}, sequencer: unansweredSequencer}, 5, 16)
}

// sendUnanswered sends a command that gets no response, and returns when its call ended.
func sendUnanswered(o *ownedEngine) time.Time {
	if o.beginCommand() {
		o.sendCommand(func(c engine.Control) (string, error) { return c.Load(o.n.ctx, "m/a", o.token) })
		o.endCommand()
	}
	return time.Now()
}

// nextSender waits until a node may send commands to an engine under a higher token.
func (c *leaseCluster) nextSender(engineName string, token int64) (time.Time, bool) {
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range c.nodes {
			if o := n.ownedEngine(engineName); o != nil && o.token > token && o.canSendCommand() {
				return time.Now(), true
			}
		}
	}
	return time.Time{}, false
}

// Guards against a lower token at an engine: a command that got no response counts as over at its
// timeout, the engine gets its next owner, and the command arrives after that owner's first.
func TestNextOwnerWaitsForUnansweredCommand(t *testing.T) {
	const during = 100 * time.Millisecond // from the begin of the command until its sender loses the engine
	for _, tt := range []struct {
		name string
		lose func(c *leaseCluster, owner int, before *standin.StoreCopy)
	}{
		{"handover", func(c *leaseCluster, owner int, _ *standin.StoreCopy) {
			go c.nodes[owner].HandOverEngines(c.nodes[owner].ctx)
		}},
		{"restored store", func(c *leaseCluster, owner int, before *standin.StoreCopy) {
			c.store.Restore(before)
			go c.nodes[owner].pollMembers(c.nodes[owner].ctx)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newUnansweredCluster()
				defer c.close()
				time.Sleep(10 * time.Second)
				owner := slices.IndexFunc(c.nodes, func(n *Node) bool { return len(n.ownedEngines()) > 0 })
				o := c.nodes[owner].ownedEngines()[0]
				before := c.store.Copy()
				ended := make(chan time.Time, 1)
				go func() { ended <- sendUnanswered(o) }()
				time.Sleep(during)
				tt.lose(c, owner, before)
				next, ok := c.nextSender(o.name, o.token)
				is.True(ok)
				end := <-ended
				t.Log("the next owner may send after", next.Sub(end))
				is.True(next.Sub(end) >= lateArrival)
			})
		})
	}
}

// Guards against a command that is on its way when its lease ends, so that it arrives after those of
// the next owner.
func TestCommandEndsWithItsLease(t *testing.T) {
	const left = 100 * time.Millisecond // of the lease when the command is sent: less than its timeout
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnansweredCluster()
		defer c.close()
		time.Sleep(10 * time.Second)
		owner := c.nodes[slices.IndexFunc(c.nodes, func(n *Node) bool { return len(n.ownedEngines()) > 0 })]
		c.cutFromStore(owner, true)
		for _, n := range c.nodes {
			c.net.SetBlocked(owner.Name(), n.Name(), true)
			c.net.SetBlocked(n.Name(), owner.Name(), true)
		}
		o := owner.ownedEngines()[0]
		for owner.session.leaseLeft() > left { // a response of before the cut may extend it
			time.Sleep(owner.session.leaseLeft() - left)
		}
		is.Equal(owner.session.leaseLeft(), left)
		leaseEnd := time.Now().Add(left)
		end := sendUnanswered(o)
		is.Equal(end, leaseEnd)
		next, ok := c.nextSender(o.name, o.token)
		is.True(ok)
		t.Log("the next owner may send after", next.Sub(end))
		is.True(next.Sub(end) >= lateArrival)
	})
}

// Guards against a delay after an owner that ended without releasing the engine in which its last
// commands may still arrive.
func TestDelayAfterEndedOwnerCoversLateCommands(t *testing.T) {
	for _, gap := range []time.Duration{2300 * time.Millisecond, 3 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			is := is.New(t)
			n := New(Config{
				Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual(),
				OwnerAlternationGap: gap, LeaseTTL: 2500 * time.Millisecond, LeaseMargin: 300 * time.Millisecond,
			})
			is.True(n.commandDelayAfter(table.Owner{Node: "other", LastNode: "other"}) >= lateArrival)
			is.Equal(n.commandDelayAfter(table.Owner{LastNode: "other", HandoverDelayMS: 200}), 200*time.Millisecond)
			is.Equal(n.commandDelayAfter(table.Owner{LastNode: "n"}), time.Duration(0))
		})
	}
}

// Guards against a lower token at an engine: a process is killed while its command is on its way, and its
// next process sends commands under the next token at once.
func TestRestartedOwnerWaitsForLateCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnansweredCluster()
		defer c.close()
		time.Sleep(10 * time.Second)
		owner := slices.IndexFunc(c.nodes, func(n *Node) bool { return len(n.ownedEngines()) > 0 })
		o := c.nodes[owner].ownedEngines()[0]
		go sendUnanswered(o)
		time.Sleep(unansweredTimeout / 3)
		killed := time.Now()
		c.kill(c.nodes[owner])
		c.start(owner)
		next, ok := c.nextSender(o.name, o.token)
		is.True(ok)
		t.Log("the next process may send after", next.Sub(killed))
		is.True(next.Sub(killed) >= lateArrival)
	})
}
