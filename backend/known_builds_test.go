package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a take-up that goes on at the only version that its node knows, while nodes that do not answer
// may have begun streams at another one; and against one that is rejected although a node is sure.
func TestOnlyBuild(t *testing.T) {
	v1 := KnownBuilds{Builds: []string{"v1"}, IsRead: true}
	current := KnownBuilds{Builds: []string{"v1"}, IsRead: true, IsCurrent: true}
	both := KnownBuilds{Builds: []string{"v1", "v2"}, IsRead: true, IsCurrent: true}
	for _, tt := range []struct {
		name       string
		own        KnownBuilds
		others     []KnownBuilds
		isComplete bool
		want       string
	}{
		{"current", current, nil, false, "v1"},
		{"nobody answers", v1, nil, false, ""},
		{"some answer, and none is current", v1, []KnownBuilds{v1}, false, ""},
		{"all answer, and none is current", v1, []KnownBuilds{v1, v1}, true, "v1"},
		{"the row was not read, and all answer", KnownBuilds{Builds: []string{"v1"}}, []KnownBuilds{v1}, true, ""},
		{"one that answers is current", v1, []KnownBuilds{current}, false, "v1"},
		{"one that answers knows two", v1, []KnownBuilds{both}, false, ""},
		{"one that answers knows another one", v1, []KnownBuilds{{Builds: []string{"v2"}, IsRead: true, IsCurrent: true}}, true, ""},
		{"two at a current node", both, []KnownBuilds{v1}, true, ""},
		{"nothing is known", KnownBuilds{}, nil, true, ""},
		{"only another node knows", KnownBuilds{}, []KnownBuilds{current}, false, "v1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := OnlyBuild(tt.own, tt.others, tt.isComplete)
			is.Equal(got, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

// Guards against a node that has not noticed yet that it is cut off from the store, and takes its last view for
// that of now.
func TestHistoryIsUncertainOnceItsViewIsOld(t *testing.T) {
	is := is.New(t)
	age := time.Duration(0)
	n, now := &buildNode{BuildHistory: BuildHistory{Age: func() time.Duration { return age }}}, time.Unix(1000, 0)
	n.observe(now, buildServers("v1")...)
	n.SetRow(now, BuildListing{Pool: "p", Builds: []string{"v1"}, RowVersion: 7})
	is.True(n.Known("p").IsCurrent)
	age = buildNotice - time.Millisecond
	is.True(n.Known("p").IsCurrent)
	age = buildNotice
	is.True(!n.Known("p").IsCurrent)
	is.True(n.IsMixed("p"))
}
