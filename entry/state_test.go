package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// newStateFixture returns a daemon that is not started, with the example configuration.
func newStateFixture(t *testing.T) *Daemon {
	d, err := New(platform.Settings{
		Node: "n", PeerAddress: "10.0.0.1:1", StoreAddress: "10.0.0.2:1", OwnerAlternationGap: 3 * time.Second, GracePeriod: 8 * time.Second, DrainPeriod: 2 * time.Second, MemoryBytes: 1 << 30,
	}, Network{}, log.New(io.Discard))
	is.New(t).NoErr(err)
	d.state.replaceOperatorRows([]table.Row{{Key: platform.ConfigRowKey, Value: platform.ExampleConfig}})
	return d
}

// engineRow returns the row of an engine.
func engineRow(s backend.Server) table.Row {
	s.Pool = "engines"
	return table.Row{Key: platform.ServersTable + "/" + s.ID, Value: platform.EncodeReplicaState(s, engine.State{})}
}

// isDrained reports whether the settings of the node's schedulers say that an engine is
// draining.
func isDrained(d *Daemon, id string) bool {
	b, ok := d.state.store.Tree().Backend(id)
	return ok && b.Drain
}

// Guards against a leaving engine that says so only in replies to commands, and gets
// requests until its row says it as well.
func TestEngineThatSaysItDrainsToItsOwner(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		platform.SetDrainingHeader(w.Header())
		w.WriteHeader(http.StatusConflict)
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	d := newStateFixture(t)
	d.state.replaceServerRows([]table.Row{engineRow(backend.Server{ID: "e", StartMS: 5, Address: address})})
	is.True(d.state.isUsable(address))
	is.True(!isDrained(d, "e"))
	_, err := d.sequencer(settings.BackendServer{Name: "e"}).Send(context.Background(), engine.Command{Load: true, Model: "m"})
	is.NoErr(err)
	is.True(!d.state.isUsable(address))
	is.True(isDrained(d, "e")) // so the owner grants nothing more
}

// Guards against a request that waits for a connection to a server that is removed
// meanwhile without ever draining, and reaches it too late.
func TestRemovedServerGetsNoWaitingRequest(t *testing.T) {
	is := is.New(t)
	d := newStateFixture(t)
	row := engineRow(backend.Server{ID: "e", StartMS: 5, Address: "10.0.0.3:1"})
	d.state.replaceServerRows([]table.Row{row})
	is.True(d.state.isUsable("10.0.0.3:1"))
	d.state.applyServerChanges(table.Changes{Rows: []table.ChangedRow{{Row: row, Removed: true}}})
	is.True(!d.state.isUsable("10.0.0.3:1"))
}
