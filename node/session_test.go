package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// A slow renewal shortens the lease and never lengthens it: the lease counts from
// before the renewal was sent.
func TestLeaseCountsFromBeforeTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, tbl := standin.NewNetwork(), &standin.Table{}
		net.Listen(platformProcess, "10.9.0.1:1", tbl)
		n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, HTTP: net.Client("n"), Clock: clock.Virtual()})
		n.tokensKnown.Store(true) // so that renew makes no second call, which would be slow too
		tbl.SetFault(standin.TableFault{Delay: 1500 * time.Millisecond})
		n.session.renew(context.Background())
		is.Equal(n.session.leaseLeft(), 6*time.Second-time.Second-1500*time.Millisecond)
	})
}

// Guards against stale grants at a node that registered after a takeover and so was not
// fenced by it. It must read the fencing token before it uses a grant of the replaced
// owner.
func TestLateEntryReadsFencingTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, tbl := standin.NewNetwork(), &standin.Table{}
		net.Listen(platformProcess, "10.9.0.1:1", tbl)
		row := table.Owner{Engine: "e", Node: "other", FencingToken: 9}
		tbl.Commit(table.Tx{Puts: []table.Put{{Key: row.Key(), Value: row.Encode()}}})
		n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, HTTP: net.Client("n"), Clock: clock.Virtual()})
		is.True(n.admissionBlocker() != "")
		n.session.renew(context.Background())
		n.registry.Register("e", "r")
		is.True(n.registry.Start("e", "r", 8, "a@1", true) != nil)
		is.NoErr(n.registry.Start("e", "r", 9, "a@1", true))
	})
}

// If its session row was removed as expired, other nodes may own the node's engines. It
// must not keep them under a new lease.
func TestRemovedSessionEndsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, tbl := standin.NewNetwork(), &standin.Table{}
		net.Listen(platformProcess, "10.9.0.1:1", tbl)
		n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, HTTP: net.Client("n"), Clock: clock.Virtual()})
		n.session.renew(context.Background())
		b := settings.BackendServer{Name: "e", Address: "10.1.0.1:1", Slots: 2, BatchSize: 2, UnloadWaitsForRequests: true}
		n.startOwnership(b, table.Owner{Engine: "e", Node: "n", Process: n.process, Epoch: 1, FencingToken: 1}, 1)
		is.Equal(len(n.ownedEngines()), 1)
		epoch := n.session.row.Epoch
		tbl.Commit(table.Tx{Deletes: []string{n.session.row.Key()}})
		n.session.renew(context.Background())
		n.session.renew(context.Background())
		is.True(n.session.leaseValid())
		is.Equal(len(n.ownedEngines()), 0)
		is.True(n.session.row.Epoch > epoch)
		n.Kill()
	})
}

// Guards against a slow restart after a crash of all nodes. A node takes its engines
// over again at once, since its earlier process has ended, even if other members'
// sessions look live.
func TestRestartedNodeTakesOverItsEnginesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, tbl := standin.NewNetwork(), &standin.Table{}
		net.Listen(platformProcess, "10.9.0.1:1", tbl)
		for _, name := range []string{"n", "other"} {
			s := table.Session{Node: name, Process: name + ".1", Epoch: 1, Counter: 7, Address: "10.0.0.9:1"}
			tbl.Commit(table.Tx{Puts: []table.Put{{Key: s.Key(), Value: s.Encode()}}})
		}
		var docs []settings.Document
		for _, engine := range []string{"e1", "e2", "e3", "e4"} {
			row := table.Owner{Engine: engine, Node: "n", Process: "n.1", Epoch: 1, FencingToken: 3, LastNode: "n"}
			tbl.Commit(table.Tx{Puts: []table.Put{{Key: row.Key(), Value: row.Encode()}}})
			docs = append(docs, settings.Document{Kind: settings.Backend, Name: engine, Fields: map[string]string{
				"address": "10.1.0.1:1", "base-model": "m", "slots": "2", "places": "2", "unload-waits": "on",
			}})
		}
		n := New(Config{
			Name: "n", Address: "10.0.0.1:1", Process: "n.2", TableURL: tableURL, HTTP: net.Client("n"),
			SettingsPushed: true, OwnerAlternationGap: 3 * time.Second, Clock: clock.Virtual(),
		})
		n.store.InstallSnapshot(1, docs)
		start := time.Now()
		n.Start()
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(n.ownedEngines()), 4) // including engines for which the other node is preferred
		for _, o := range n.ownedEngines() {
			is.Equal(o.token, int64(4))
			is.True(!o.canSendCommand()) // a command of the earlier process may still arrive
		}
		is.True(time.Since(start) < 200*time.Millisecond)
		time.Sleep(time.Until(start.Add(n.cfg.CommandArrivalBound + time.Millisecond)))
		for _, o := range n.ownedEngines() {
			is.True(o.canSendCommand()) // no further delay after its own earlier process
		}
		n.Kill()
	})
}
