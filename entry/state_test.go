package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
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
	d.state.replaceOperatorRows(table.Snapshot{Rows: []table.Row{{Key: platform.ConfigRowKey, Value: platform.ExampleConfig}}})
	return d
}

// engineRow returns the row of an engine.
func engineRow(s backend.Server) table.Row {
	s.Pool = "engines"
	return table.Row{Key: platform.ServersTable + "/" + s.ID, Value: platform.EncodeReplicaState(s, engine.State{})}
}

// serverRows returns a read of the servers' table in a generation of the store.
func serverRows(generation int64, servers ...backend.Server) table.Snapshot {
	snapshot := table.Snapshot{Generation: generation}
	for _, s := range servers {
		snapshot.Rows = append(snapshot.Rows, engineRow(s))
	}
	return snapshot
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
	d.state.replaceServerRows(serverRows(1, backend.Server{ID: "e", StartMS: 5, Address: address}))
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
	e := backend.Server{ID: "e", StartMS: 5, Address: "10.0.0.3:1"}
	d.state.replaceServerRows(serverRows(1, e))
	is.True(d.state.isUsable("10.0.0.3:1"))
	d.state.applyServerChanges(table.Changes{Rows: []table.ChangedRow{{Row: engineRow(e), Removed: true}}})
	is.True(!d.state.isUsable("10.0.0.3:1"))
}

// Guards against a live server that is dropped at once, since the copy that the store was
// restored from is older than its row.
func TestServerMissingInRestoredTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newStateFixture(t)
		old, late := backend.Server{ID: "old", StartMS: 4, Address: "10.0.0.3:1"}, backend.Server{ID: "late", StartMS: 5, Address: "10.0.0.4:1"}
		d.state.replaceServerRows(serverRows(1, old, late))
		time.Sleep(time.Minute)
		d.state.replaceServerRows(serverRows(2, old))
		is.True(d.state.isUsable(late.Address))
		time.Sleep(1900 * time.Millisecond)
		d.state.updateRestoredServers()
		is.True(d.state.isUsable(late.Address))
		time.Sleep(100 * time.Millisecond)
		d.state.updateRestoredServers()
		is.True(!d.state.isUsable(late.Address)) // it did not write its row again
		is.True(d.state.isUsable(old.Address))
		time.Sleep(time.Minute)
		d.state.replaceServerRows(serverRows(2))
		is.True(!d.state.isUsable(old.Address)) // the table was read again for another reason
	})
}

// Guards against requests to a server that has left, and whose row is in the copy that the
// store was restored from.
func TestRemovedServerInRestoredTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newStateFixture(t)
		gone, back := backend.Server{ID: "gone", StartMS: 4, Address: "10.0.0.3:1"}, backend.Server{ID: "back", StartMS: 5, Address: "10.0.0.4:1"}
		d.state.replaceServerRows(serverRows(1, gone, back))
		time.Sleep(time.Minute)
		d.state.applyServerChanges(table.Changes{Rows: []table.ChangedRow{{Row: engineRow(gone), Removed: true}, {Row: engineRow(back), Removed: true}}})
		time.Sleep(time.Second)
		d.state.replaceServerRows(serverRows(2, gone, back))
		is.True(!d.state.isUsable(gone.Address))
		time.Sleep(time.Second)
		d.state.applyServerChanges(table.Changes{Rows: []table.ChangedRow{{Row: engineRow(back)}}})
		is.True(d.state.isUsable(back.Address))
		is.True(!d.state.isUsable(gone.Address))
		time.Sleep(time.Minute)
		d.state.updateRestoredServers()
		is.True(d.state.isUsable(gone.Address)) // it is alive, since its row is still there
		_, ok := d.state.store.Tree().Backend("gone")
		is.True(ok)
	})
}

// Guards against a configuration or an adapter version that goes back to an earlier one
// with a restored store.
func TestVersionsDoNotGoBack(t *testing.T) {
	is := is.New(t)
	d := newStateFixture(t)
	config := func(version string) table.Row {
		return table.Row{Key: platform.ConfigRowKey, Value: bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(`"version": `+version), 1)}
	}
	adapter := func(version int64) table.Row {
		p := platform.EncodeAdapterVersion(platform.AdapterVersion{Model: "base-7b", Adapter: "a1", Version: version})
		return table.Row{Key: p.Key, Value: p.Value}
	}
	d.state.replaceOperatorRows(table.Snapshot{Rows: []table.Row{config("7"), adapter(4)}, Generation: 1})
	is.Equal(d.state.routes.Load().Version(), int64(7))
	for _, rows := range [][]table.Row{{config("6"), adapter(3)}, {config("5")}, {}} {
		d.state.replaceOperatorRows(table.Snapshot{Rows: rows, Generation: 2})
		is.Equal(d.state.routes.Load().Version(), int64(7))
		is.Equal(d.state.adapterVersion("base-7b", "a1"), int64(4))
	}
	d.state.applyOperatorChanges(table.Changes{Rows: []table.ChangedRow{{Row: config("6")}, {Row: adapter(3)}, {Row: config("8")}, {Row: adapter(5)}}})
	is.Equal(d.state.routes.Load().Version(), int64(8))
	is.Equal(d.state.adapterVersion("base-7b", "a1"), int64(5))
}

// Guards against nodes that keep the contents of a version that was lost with a restore
// before it was confirmed, and then written with others.
func TestVersionWithOtherContentsAfterARestore(t *testing.T) {
	is := is.New(t)
	d := newStateFixture(t)
	row := func(version, prefix string, generation, rowVersion int64) table.Row {
		config := bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(`"version": `+version), 1)
		return table.Row{Key: platform.ConfigRowKey, Value: bytes.Replace(config, []byte(`"/status/"`), []byte(`"`+prefix+`"`), 1), Generation: generation, Version: rowVersion}
	}
	hasRoute := func(prefix string) bool {
		_, ok := d.state.routes.Load().Match("assist.example", prefix)
		return ok
	}
	d.state.replaceOperatorRows(table.Snapshot{Rows: []table.Row{row("7", "/lost/", 1, 40)}, Generation: 1})
	is.True(hasRoute("/lost/"))
	d.state.replaceOperatorRows(table.Snapshot{Rows: []table.Row{row("6", "/copy/", 2, 30)}, Generation: 2})
	is.True(hasRoute("/lost/")) // a version of before the restore may have been confirmed
	d.state.applyOperatorChanges(table.Changes{Rows: []table.ChangedRow{{Row: row("7", "/kept/", 2, 35)}}, Generation: 2})
	is.True(hasRoute("/kept/"))
	is.True(!hasRoute("/lost/"))
	d.state.replaceOperatorRows(table.Snapshot{Rows: []table.Row{row("7", "/old/", 2, 34)}, Generation: 2}) // a read that is out of date
	is.True(hasRoute("/kept/"))
}

// Guards against responses to commands that keep a limit in force which the server has ended,
// or end one that it states only to callers.
func TestCommandsNeitherEndNorProlongLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newStateFixture(t)
		s := &backend.Server{ID: "e", StartMS: 5}
		d.recordAsks(s, time.Now(), backend.Asks{Limited: true, PerSecond: 4})
		time.Sleep(time.Second)
		d.recordControlAsks(s, time.Now(), backend.Asks{})
		d.recordAsks(s, time.Now(), backend.Asks{Late: true})
		is.True(d.limits.IsLimited(s))
		sent := time.Now()
		time.Sleep(time.Second)
		d.recordControlAsks(s, time.Now(), backend.Asks{})
		d.recordAsks(s, sent, backend.Asks{})
		is.True(!d.limits.IsLimited(s))
		d.recordControlAsks(s, time.Now(), backend.Asks{Limited: true, PerSecond: 3})
		is.True(d.limits.IsLimited(s))
		next := &backend.Server{ID: "e", StartMS: 6}
		d.recordControlAsks(next, time.Now(), backend.Asks{})
		is.True(!d.limits.IsLimited(next))
	})
}

// Guards against a node that gets later the later it is, since it decodes each of several versions that
// one response brings.
func TestOnlyTheNewestOfSeveralConfigurationsIsInstalled(t *testing.T) {
	configuration := func(version, value string) table.ChangedRow {
		row := table.Row{Key: platform.ConfigRowKey, Value: bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(value), 1)}
		row.Version, _ = strconv.ParseInt(version, 10, 64)
		return table.ChangedRow{Row: row}
	}
	for _, tt := range []struct {
		name      string
		rows      []table.ChangedRow
		version   int64
		installed int
	}{
		{"all valid", []table.ChangedRow{configuration("2", `"version": 2`), configuration("3", `"version": 3`), configuration("4", `"version": 4`)}, 4, 1},
		{"last one invalid", []table.ChangedRow{configuration("2", `"version": 2`), configuration("3", `"version": 3`), configuration("4", `"version": "x"`)}, 3, 1},
		{"last one older", []table.ChangedRow{configuration("2", `"version": 2`), configuration("3", `"version": 5`), configuration("4", `"version": 1`)}, 5, 1},
		{"all invalid", []table.ChangedRow{configuration("2", `"version": 0`), configuration("3", `"version": -1`)}, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newStateFixture(t)
			var out bytes.Buffer
			d.state.log = log.New(&out)
			d.state.applyOperatorChanges(table.Changes{Rows: tt.rows})
			is.Equal(d.state.routes.Load().Version(), tt.version)
			is.Equal(bytes.Count(out.Bytes(), []byte("configuration in force")), tt.installed)
		})
	}
}
