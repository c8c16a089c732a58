package standin

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/table"
)

// The client of the platform's store reads what it wrote to the stand-in, and gets
// each failure with its kind.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st, network := &Store{}, &PipeNetwork{}
		ln, err := network.Listen("10.0.0.1:1")
		is.NoErr(err)
		srv := &http.Server{Handler: st}
		go func() { _ = srv.Serve(ln) }() // ends with Close
		transport := &http.Transport{DialContext: network.Dial}
		store := &platform.StoreClient{Address: "10.0.0.1:1", HTTP: &http.Client{Transport: transport}}
		ctx := context.Background()
		c := &table.Client{Read: store.Read, Apply: store.Apply}

		_, err = c.Get(ctx, "t/a")
		is.True(table.IsKind(err, table.NotFound))
		first, err := c.Commit(ctx, table.Tx{Checks: []table.Check{{Key: "t/a"}}, Puts: []table.Put{{Key: "t/a", Value: []byte("1")}, {Key: "u/b", Value: []byte("2")}}})
		is.NoErr(err)
		row, err := c.Get(ctx, "t/a")
		is.NoErr(err)
		is.Equal(row, table.Row{Key: "t/a", Value: []byte("1"), Version: first, Generation: store.Generation()})
		_, err = c.Commit(ctx, table.Tx{Checks: []table.Check{{Key: "t/a"}}})
		is.True(table.IsKind(err, table.Conflict))

		changes := make(chan table.Changes)
		go func() {
			ch, err := store.WaitChanges(ctx, "t", first, 10*time.Second)
			is.NoErr(err)
			changes <- ch
		}()
		time.Sleep(time.Second)
		st.Put("u/c", nil) // row of another table
		st.Remove("t/a")
		ch := <-changes
		is.Equal(len(ch.Rows), 1)
		is.True(ch.Rows[0].Removed)

		st.DropHistory()
		_, err = store.WaitChanges(ctx, "t", first, 0)
		is.True(table.IsKind(err, table.HistoryLost))

		st.SetFault(TableFault{Down: true})
		_, err = c.Get(ctx, "u/b")
		is.True(table.IsKind(err, table.Unavailable))
		st.SetFault(TableFault{LoseResponse: func(table.Tx) bool { return true }})
		_, err = c.Commit(ctx, table.Tx{Puts: []table.Put{{Key: "t/d", Value: []byte("4")}}})
		is.True(table.IsKind(err, table.Unknown))
		st.SetFault(TableFault{})
		row, err = c.Get(ctx, "t/d")
		is.NoErr(err)
		is.Equal(row.Value, []byte("4")) // applied although the response was lost
		is.NoErr(srv.Close())
		transport.CloseIdleConnections()
	})
}

// A table with more rows than one page holds is read in two pages.
func TestStorePages(t *testing.T) {
	is := is.New(t)
	st := &Store{}
	const n = maxPageRows + 20
	for i := range n {
		st.Put("t/"+string(rune('a'+i%26))+time.Duration(i).String(), nil)
	}
	p := st.readPage(platform.StoreRequest{Table: "t"})
	is.Equal(len(p.Rows), maxPageRows)
	is.True(p.MorePages)
	_, last, _ := strings.Cut(p.Rows[len(p.Rows)-1].Key, "/")
	p = st.readPage(platform.StoreRequest{Table: "t", From: last + "\x00"})
	is.Equal(len(p.Rows), n-maxPageRows)
	is.True(!p.MorePages)
}

// After a restore, versions are given out again, what operators and replicas wrote is
// there, and a poll from a version that no longer exists fails.
func TestStoreRestore(t *testing.T) {
	is := is.New(t)
	st := &Store{}
	st.Put("owner/e", []byte("1"))
	c := st.Copy()
	st.Put("owner/e", []byte("2"))
	st.Put("owner/f", []byte("2"))
	st.Put(platform.ServersTable+"/s", []byte("2"))
	lost := st.version
	st.Restore(c)
	is.Equal(len(st.Rows("owner/")), 1)
	is.Equal(st.Rows("owner/")[0].Value, []byte("1"))
	is.Equal(st.Rows(platform.ServersTable + "/")[0].Value, []byte("2"))
	_, _, err := st.changesSince(platform.StoreRequest{Table: "owner", After: lost})
	is.True(table.IsKind(err, table.HistoryLost))
	resp, err := st.handle(t.Context(), platform.StoreRequest{Table: "owner"})
	is.NoErr(err)
	is.Equal(resp.Restores, int64(1))
}

// A client reports each new generation once, and does not use a response of an earlier one.
func TestStoreClientObservesGeneration(t *testing.T) {
	is := is.New(t)
	st, stale := &Store{}, &Store{}
	network := NewNetwork()
	network.Listen("store", "10.0.0.1:1", st)
	var seen []int64
	store := &platform.StoreClient{
		Address: "10.0.0.1:1", HTTP: network.Client("node"),
		OnGeneration: func(g int64) { seen = append(seen, g) },
	}
	read := func() error {
		_, err := store.Read(t.Context(), table.Query{Key: "t/a"})
		return err
	}
	is.NoErr(read())
	first := store.Generation()
	st.Restore(st.Copy())
	is.NoErr(read())
	is.NoErr(read())
	is.Equal(store.Generation(), first+1)
	is.Equal(seen, []int64{first, first + 1})

	c := &table.Client{Read: store.Read, Apply: store.Apply}
	_, err := c.Commit(t.Context(), table.Tx{Checks: []table.Check{{Key: "t/a", Generation: first}}})
	is.True(table.IsKind(err, table.Restored))
	_, err = c.Commit(t.Context(), table.Tx{Checks: []table.Check{{Key: "t/a", Generation: first + 1}}})
	is.NoErr(err)
	network.Listen("store", "10.0.0.1:1", stale)
	is.True(table.IsKind(read(), table.Unavailable))
}

// Guards against a transaction that is applied after a restore, when a row has got the version
// that it requires a second time.
func TestLateTransactionIsNotAppliedAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st, network := &Store{}, NewNetwork()
		network.Listen("store", "10.0.0.1:1", st)
		newClient := func(name string) (*table.Client, *platform.StoreClient) {
			store := &platform.StoreClient{Address: "10.0.0.1:1", HTTP: network.Client(name)}
			return &table.Client{Read: store.Read, Apply: store.Apply}, store
		}
		late, lateStore := newClient("late")
		put := func(c *table.Client, store *platform.StoreClient, value string, version int64) int64 {
			v, err := c.Commit(t.Context(), table.Tx{
				Checks: []table.Check{{Key: "owner/e", Version: version, Generation: store.Generation()}},
				Puts:   []table.Put{{Key: "owner/e", Value: []byte(value)}},
			})
			is.NoErr(err)
			return v
		}
		_, err := late.Get(t.Context(), "owner/e")
		is.True(table.IsKind(err, table.NotFound))
		first := put(late, lateStore, "first", 0)
		before := st.Copy()
		lost := put(late, lateStore, "lost", first)
		st.SetFault(TableFault{ApplyLate: func(table.Tx) time.Duration { return 5 * time.Second }})
		_, err = late.Commit(t.Context(), table.Tx{
			Checks: []table.Check{{Key: "owner/e", Version: lost, Generation: lateStore.Generation()}},
			Puts:   []table.Put{{Key: "owner/e", Value: []byte("late")}},
		})
		is.True(table.IsKind(err, table.Unknown))
		st.SetFault(TableFault{})
		st.Restore(before)

		other, otherStore := newClient("other")
		_, err = other.Get(t.Context(), "owner/e")
		is.NoErr(err)
		is.Equal(put(other, otherStore, "current", first), lost)
		time.Sleep(10 * time.Second)
		is.Equal(st.Rows("owner/e")[0].Value, []byte("current"))
	})
}
