package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// usableIDs returns the IDs of the servers that may get requests.
func usableIDs(v *View) []string {
	list := []string{}
	for _, s := range v.Pool("p") {
		if !s.Draining {
			list = append(list, s.ID)
		}
	}
	return list
}

// Guards against what a table tells that was restored from a copy some seconds old: live
// servers that it lacks are dropped, and servers that are draining get requests again.
func TestRestoredTable(t *testing.T) {
	a, b := Server{ID: "a", StartMS: 5, Pool: "p"}, Server{ID: "b", StartMS: 5, Pool: "p"}
	draining := a
	draining.Draining = true
	both := []Server{a, b}
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	for _, tt := range []struct {
		name string
		do   func(r *Registry) // with a and b registered for an hour, at t0
		want []string
	}{
		{"nothing lost", func(r *Registry) { r.Restore(t0, both) }, []string{"a", "b"}},
		{"row is missing", func(r *Registry) {
			r.Restore(t0, []Server{b})
			r.RemoveMissing(at(reregisterGrace - 1))
		}, []string{"a", "b"}},
		{"row is missing after the grace period", func(r *Registry) {
			r.Restore(t0, []Server{b})
			r.RemoveMissing(at(reregisterGrace))
		}, []string{"b"}},
		{"missing row is written again", func(r *Registry) {
			r.Restore(t0, []Server{b})
			r.Put(a)
			r.RemoveMissing(at(time.Hour))
		}, []string{"a", "b"}},
		{"row is missing, and the store is lost again", func(r *Registry) {
			r.Restore(t0, []Server{b})
			r.StoreUnavailable()
			r.RemoveMissing(at(time.Hour))
		}, []string{"a", "b"}},
		{"outage that ended before", func(r *Registry) {
			r.StoreUnavailable()
			r.Restore(t0, []Server{b})
			r.StoreAvailable(t0)
			r.RemoveMissing(at(reregisterGrace - 1))
		}, []string{"a", "b"}},
		{"missing server is back by a further read", func(r *Registry) {
			r.Restore(t0, []Server{b})
			r.RemoveMissing(at(reregisterGrace))
			r.Replace(at(time.Hour), both)
		}, []string{"a", "b"}},

		{"draining server is ready in the copy", func(r *Registry) {
			r.Put(draining)
			r.Restore(t0, both)
			r.Put(a)
		}, []string{"b"}},
		{"server that said it drains is missing, and writes its row again", func(r *Registry) {
			r.SetDraining(&a)
			r.Restore(t0, []Server{b})
			r.RemoveMissing(at(reregisterGrace))
			r.Put(a)
		}, []string{"b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			r.Replace(t0.Add(-time.Hour), both)
			tt.do(&r)
			is.Equal(usableIDs(r.View()), tt.want)
		})
	}
}
