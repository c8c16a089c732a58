package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests to a server that states that it is draining while its row, which
// lags, says that it is ready.
func TestDrainingHoldsForIncarnation(t *testing.T) {
	ready, next := Server{ID: "a", StartMS: 5, Pool: "p", Address: "10.0.0.1:1"}, Server{ID: "a", StartMS: 6, Pool: "p", Address: "10.0.0.1:1"}
	draining := ready
	draining.Draining = true
	for _, tt := range []struct {
		name string
		do   func(r *Registry)
		want bool
	}{
		{"stated", func(r *Registry) { r.SetDraining(&ready) }, true},
		{"row written again", func(r *Registry) { r.SetDraining(&ready); r.Put(ready) }, true},
		{"rows read again", func(r *Registry) { r.SetDraining(&ready); r.Replace(t0, []Server{ready}) }, true},
		{"row removed and written again", func(r *Registry) {
			r.SetDraining(&ready)
			r.Remove(t0, "a")
			r.Put(ready)
		}, true},
		{"stated after the row was removed", func(r *Registry) {
			r.Remove(t0, "a")
			r.SetDraining(&ready)
			r.Put(ready)
		}, true},
		{"stated in its row", func(r *Registry) { r.Put(draining); r.Put(ready) }, true},
		{"row of the stated incarnation after one of the next", func(r *Registry) {
			r.SetDraining(&ready)
			r.Put(next)
			r.Put(ready)
		}, true},
		{"next incarnation", func(r *Registry) { r.SetDraining(&ready); r.Put(next) }, false},
		{"late response of the incarnation before", func(r *Registry) { r.Put(next); r.SetDraining(&ready) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			r.Replace(t0.Add(-time.Hour), []Server{ready})
			tt.do(&r)
			s, ok := r.View().Server("a")
			is.True(ok)
			is.Equal(s.Draining, tt.want)
			is.Equal(r.View().IsUsable("10.0.0.1:1"), !tt.want)
		})
	}
}

// Guards against a log line for each response of a server that drains for seconds.
func TestDrainingIsLearnedOnce(t *testing.T) {
	is := is.New(t)
	s := Server{ID: "a", StartMS: 5}
	var r Registry
	r.Replace(t0, []Server{s})
	is.True(r.SetDraining(&s))
	is.True(!r.SetDraining(&s))
	r.Remove(t0.Add(time.Hour), "a")
	is.True(!r.SetDraining(&s))
	is.True(r.SetDraining(&Server{ID: "unknown"}))
}

// Guards against memory that grows with each server that was ever registered.
func TestFormerIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Replace(t0, nil)
	for i := range 2 * maxFormer {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		s := Server{ID: "a", StartMS: int64(i), Draining: true}
		r.Put(s)
		r.Remove(now, "a")
		is.True(len(r.former.recent)+len(r.former.older) <= maxFormer)
	}
	r.Put(Server{ID: "a", StartMS: 2*maxFormer - 1})
	s, _ := r.View().Server("a")
	is.True(s.Draining) // the latest ones are kept
}
