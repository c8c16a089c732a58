package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// buildServers returns ready servers of a pool with the given software versions.
func buildServers(builds ...string) []Server {
	var list []Server
	for i, b := range builds {
		list = append(list, Server{ID: string(rune('a' + i)), Pool: "p", Build: b})
	}
	return list
}

// buildNode is a node that observes the servers of a pool, and the row in the store.
type buildNode struct {
	BuildHistory
	registry Registry
}

func (n *buildNode) observe(now time.Time, servers ...Server) {
	n.registry.Replace(now, servers)
	n.Observe(now, n.registry.View(), []string{"p"})
}

// Guards against streams that begin at a software version of which a node that starts later, or
// one that does not know of it yet, cannot tell.
func TestStreamsBeginOnlyAtListedVersions(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1")...)
	is.True(!n.MayBegin(now, "p", "v1")) // the row was not read
	n.SetRow(now, BuildListing{Pool: "p"})
	is.True(!n.MayBegin(now, "p", "v1"))
	is.Equal(n.Listings(now), []BuildListing{{Pool: "p", Builds: []string{"v1"}}})
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1"}, RowVersion: 7})
	is.True(n.MayBegin(now, "p", "v1"))
	is.True(!n.IsMixed("p"))

	n.observe(now, buildServers("v1", "v2")...)
	is.True(n.IsMixed("p"))
	is.True(!n.MayBegin(now, "p", "v2"))
	is.Equal(n.Listings(now), []BuildListing{{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 7}})
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 8})
	is.True(!n.MayBegin(now, "p", "v2")) // others may not know of it
	is.True(n.MayBegin(now.Add(buildNotice), "p", "v2"))
}

// Guards against a pool that serves nothing while a version is listed that has replaced all others.
func TestOnlyVersionLeftIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1")...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1"}, RowVersion: 7})
	servers := buildServers("v1", "v2")
	servers[0].Draining = true
	n.observe(now, servers...)
	is.True(!n.MayBegin(now, "p", "v2"))
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 8})
	is.True(n.MayBegin(now, "p", "v2"))
}

// Guards against a node that serves nothing while it cannot write to the store.
func TestVersionThatCannotBeListedIsUsedAfterATime(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1")...)
	is.True(!n.MayBegin(now, "p", "v1"))
	is.True(n.MayBegin(now.Add(listTimeout+time.Millisecond), "p", "v1"))
	is.True(n.IsMixed("p")) // it is not known at which versions streams began
}

// Guards against a take-up that goes on at the version left, soon after the last server of the
// one that began it is gone.
func TestVersionWithoutServersStaysListed(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1", "v2")...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 7})
	for end := now.Add(unlistAfter); now.Before(end); {
		now = now.Add(time.Second)
		n.observe(now, buildServers("v2")...)
	}
	is.Equal(len(n.Listings(now)), 0)
	is.True(n.IsMixed("p"))
	now = now.Add(time.Second)
	n.observe(now, buildServers("v2")...)
	is.Equal(n.Listings(now), []BuildListing{{Pool: "p", Builds: []string{"v2"}, RowVersion: 7}})
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v2"}, RowVersion: 8})
	is.True(!n.IsMixed("p"))
}

// Guards against a version that comes back and is used although others have removed it from the
// row since.
func TestVersionThatComesBackIsListedAgain(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1", "v2")...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 7})
	for end := now.Add(relistAfter + time.Second); now.Before(end); {
		now = now.Add(time.Second)
		n.observe(now, buildServers("v2")...)
	}
	n.observe(now, buildServers("v1", "v2")...)
	is.True(!n.MayBegin(now, "p", "v1"))
	is.Equal(len(n.Unread(now)), 0) // the chosen node lists it first
	is.Equal(n.Unread(now.Add(listingTime)), []string{"p"})
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 9})
	is.True(n.MayBegin(now.Add(buildNotice), "p", "v1"))
}

// Guards against a node without the store that takes its last view for that of now.
func TestHistoryIsUncertainWithoutTheStore(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1")...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1"}, RowVersion: 7})
	is.True(!n.IsMixed("p"))
	n.SetStoreLost(true)
	is.True(n.IsMixed("p"))
	n.SetStoreLost(false)
	is.True(!n.IsMixed("p"))
	n.ForgetRows()
	is.True(n.IsMixed("p"))
	is.True(n.MayBegin(now, "p", "v1"))
}

// Guards against a node that starts just after a version was listed, and begins streams there of which other nodes
// cannot tell: they have not read of that version yet.
func TestNodeThatStartsLeavesNoticeOfAYoungVersion(t *testing.T) {
	is := is.New(t)
	n, now := &buildNode{}, time.Unix(1000, 0)
	servers := buildServers("v1", "v2", "v2")
	servers[0].StartMS = now.Add(-time.Minute).UnixMilli()
	servers[1].StartMS = now.Add(-time.Second).UnixMilli()
	servers[2].StartMS = now.UnixMilli()
	n.observe(now, servers...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 8})
	is.True(n.MayBegin(now, "p", "v1"))
	is.True(!n.MayBegin(now, "p", "v2"))
	is.True(n.MayBegin(now.Add(buildNotice), "p", "v2"))

	servers[1].StartMS = now.Add(-settledAfter).UnixMilli()
	settled := &buildNode{}
	settled.observe(now, servers...)
	settled.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1", "v2"}, RowVersion: 8})
	is.True(settled.MayBegin(now, "p", "v2"))
}
