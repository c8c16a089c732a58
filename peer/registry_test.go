package peer

import (
	"testing"

	"github.com/matryer/is"
)

func TestRegistry(t *testing.T) {
	const e = "engine"
	for _, tt := range []struct {
		name  string
		do    func(r *Registry)
		token int64
		ok    bool
	}{
		{"plain grant", func(*Registry) {}, 5, true},
		{"barred by a later owner", func(r *Registry) { r.Fence(e, 6) }, 5, false},
		{"of the owner that barred", func(r *Registry) { r.Fence(e, 5) }, 5, true},
		{"barred on another engine", func(r *Registry) { r.Fence("other", 9) }, 5, true},
		{"older than one in use", func(r *Registry) { r.Register(e, "x"); _ = r.Start(e, "x", 7, "a@1", true) }, 5, false},
		{"taken back on its way", func(r *Registry) { r.Reconcile(e, []string{"r"}) }, 5, false},
		{"given up", func(r *Registry) { r.End(e, "r") }, 5, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			r.Register(e, "r")
			tt.do(&r)
			is.Equal(r.Start(e, "r", tt.token, "a@1", true) == nil, tt.ok)
		})
	}
}

func TestBarListsStreamsUnderOlderTokens(t *testing.T) {
	is := is.New(t)
	var r Registry
	for id, token := range map[string]int64{"old": 1, "new": 3} {
		r.Register("e", id)
		if id == "old" {
			is.NoErr(r.Start("e", id, token, "a@1", false))
		}
	}
	is.NoErr(r.Start("e", "new", 3, "b@1", true))
	is.Equal(r.Fence("e", 3), []Stream{{RequestID: "old", Adapter: "a@1", FencingToken: 1}})
	is.Equal(r.Reconcile("e", []string{"old", "gone"}), []string{"old"})
	r.End("e", "old")
	is.Equal(r.InUse(), 1)
}
