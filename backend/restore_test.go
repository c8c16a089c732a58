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
// servers that it lacks are dropped, and servers that have left since get requests again.
func TestRestoredTable(t *testing.T) {
	a, b := Server{ID: "a", StartMS: 5, Pool: "p"}, Server{ID: "b", StartMS: 5, Pool: "p"}
	before := Server{ID: "a", StartMS: 3, Pool: "p"}
	draining := a
	draining.Draining = true
	both := []Server{a, b}
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	const ttl = 6 * time.Second
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

		{"removed server is in the copy", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.AddConfirmed(at(ttl - 1))
		}, []string{"b"}},
		{"removed server writes its row anew", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.Put(a)
		}, []string{"a", "b"}},
		{"removed server is in the copy until it is removed again", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.Remove(at(ttl-1), "a")
			r.AddConfirmed(at(time.Hour))
		}, []string{"b"}},
		// A live server may have written its row before the table was read again.
		{"row of a removed server outlives the silence of a server", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.AddConfirmed(at(ttl))
		}, []string{"a", "b"}},
		{"nothing is confirmed during an outage", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.StoreUnavailable()
			r.AddConfirmed(at(time.Hour))
			r.StoreAvailable(at(time.Hour))
			r.AddConfirmed(at(time.Hour + ttl - 1))
		}, []string{"b"}},
		{"removed server is in the copy, and the table is read again", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.Replace(at(time.Second), both)
		}, []string{"b"}},
		{"removed server is in the copy, and the table is read again after an outage", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.StoreUnavailable()
			r.AddConfirmed(at(ttl))
			r.StoreAvailable(at(time.Hour))
			r.Replace(at(time.Hour), both)
		}, []string{"b"}},
		{"outage long after the restore", func(r *Registry) {
			r.Restore(t0, both)
			r.AddConfirmed(at(ttl))
			r.Remove(at(time.Minute), "a")
			r.StoreUnavailable()
			r.StoreAvailable(at(time.Hour))
			r.Replace(at(time.Hour), both)
		}, []string{"a", "b"}},
		{"removed server is missing when the table is read again", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.Replace(at(time.Second), []Server{b})
			r.AddConfirmed(at(time.Hour))
		}, []string{"b"}},
		{"removed server is back by a read without a restore", func(r *Registry) {
			r.Remove(at(-time.Minute), "a")
			r.Replace(t0, both)
		}, []string{"a", "b"}},
		{"removed server had been draining", func(r *Registry) {
			r.Put(draining)
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, both)
			r.AddConfirmed(at(time.Hour))
			r.Put(a)
		}, []string{"b"}},
		{"server that was not registered said it drains", func(r *Registry) {
			r.SetDraining(&Server{ID: "c", Pool: "p"})
			r.Restore(t0, append(both, Server{ID: "c", Pool: "p"}))
		}, []string{"a", "b"}},
		{"next incarnation of a removed server", func(r *Registry) {
			r.SetDraining(&before)
			r.Remove(at(-time.Minute), "a")
			r.Restore(t0, []Server{before, b})
			r.Put(a)
		}, []string{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Registry{RowTTL: ttl}
			r.Replace(t0.Add(-time.Hour), both)
			tt.do(&r)
			is.Equal(usableIDs(r.View()), tt.want)
		})
	}
}

// Guards against an earlier incarnation that replaces the current one, since the copy that
// the store was restored from was made before the restart.
func TestRestoredTableHasEarlierIncarnation(t *testing.T) {
	before, now := Server{ID: "a", StartMS: 3, Pool: "p"}, Server{ID: "a", StartMS: 5, Pool: "p"}
	for _, tt := range []struct {
		name string
		do   func(r *Registry)
		want int64 // start time of the registered incarnation; 0 if there is none
	}{
		{"at once", func(*Registry) {}, 5},
		{"within the grace period", func(r *Registry) { r.RemoveMissing(t0.Add(reregisterGrace - 1)) }, 5},
		{"after the grace period", func(r *Registry) { r.RemoveMissing(t0.Add(reregisterGrace)) }, 0},
		{"row written again", func(r *Registry) {
			r.Put(now)
			r.RemoveMissing(t0.Add(time.Hour))
			r.AddConfirmed(t0.Add(time.Hour))
		}, 5},
		// Its clock may have been set back.
		{"row of the earlier start stays", func(r *Registry) {
			r.RemoveMissing(t0.Add(reregisterGrace))
			r.AddConfirmed(t0.Add(defaultRowTTL))
		}, 3},
		{"row of the earlier start is written anew", func(r *Registry) { r.Put(before) }, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			r.Replace(t0.Add(-time.Hour), []Server{before})
			r.Put(now)
			r.Restore(t0, []Server{before})
			tt.do(&r)
			s, ok := r.View().Server("a")
			is.Equal(ok, tt.want != 0)
			if ok {
				is.Equal(s.StartMS, tt.want)
			}
		})
	}
}

// Guards against a crash of a node that had no servers before a restore.
func TestRestoreOfEmptyRegistry(t *testing.T) {
	is := is.New(t)
	s := Server{ID: "a", Pool: "p"}
	var r Registry
	r.Replace(t0, nil)
	r.SetDraining(&s)
	r.Restore(t0, []Server{s})
	is.Equal(usableIDs(r.View()), []string{})
}
