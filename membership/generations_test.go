package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGenerationsSettle(t *testing.T) {
	const lease, extension = 3 * time.Second, time.Minute
	names := []string{"a", "b", "c", "d"}
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	read := func(g *Generations) { g.Retain(func(string) bool { return true }, t0) }
	for _, tt := range []struct {
		name    string
		confirm func(g *Generations)
		from    time.Duration // when leases of before have ended
	}{
		{"all confirm at once", func(g *Generations) {
			read(g)
			for _, name := range names {
				g.Observe(name, name, 2, t0)
			}
		}, lease},
		{"all known ones confirm, and the sessions are not read", func(g *Generations) {
			for _, name := range names {
				g.Observe(name, name, 2, t0)
			}
		}, extension + lease},
		{"one never confirms", func(g *Generations) {
			read(g)
			for _, name := range names[:3] {
				g.Observe(name, name, 2, t0)
			}
		}, lease},
		{"one of few never confirms", func(g *Generations) {
			g.Retain(func(name string) bool { return name != "d" }, at(-time.Minute))
			for _, name := range names[:2] {
				g.Observe(name, name, 2, t0)
			}
		}, extension + lease},
		{"one confirms late, and may have agreed to an extension just before", func(g *Generations) {
			read(g)
			g.Observe("a", "a", 2, t0)
			g.Observe("b", "b", 2, t0)
			g.Observe("c", "c", 2, at(2*time.Second))
		}, 2*time.Second + lease},
		{"two confirm late, and have no row in the copy", func(g *Generations) {
			g.Observe("a", "a", 2, t0)
			g.Observe("b", "b", 2, at(10*time.Second))
			g.Observe("c", "c", 2, at(10*time.Second))
			g.Retain(func(name string) bool { return name == "a" }, at(10*time.Second+1))
		}, 10*time.Second + lease},
		{"two never confirm", func(g *Generations) {
			g.Observe("a", "a", 2, t0)
			g.Observe("b", "b", 2, t0)
		}, extension + lease},
		{"two have no row in the copy", func(g *Generations) {
			g.Observe("a", "a", 2, t0)
			g.Observe("b", "b", 2, t0)
			g.Retain(func(name string) bool { return name < "c" }, t0)
		}, extension + lease},
		{"a row of before does not confirm", func(g *Generations) {
			g.Observe("a", "a", 1, t0)
			g.Observe("b", "b", 1, t0)
		}, extension + lease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Generations{LeaseTime: lease, MaxExtension: extension}
			is.True(g.Settled(t0)) // the table states no generation
			is.True(g.Advance(1, at(-time.Hour)))
			for _, name := range names {
				g.Observe(name, name, 1, at(-time.Hour))
			}
			is.True(g.Settled(t0))
			is.True(g.Advance(2, t0))
			is.True(!g.Advance(1, t0))
			tt.confirm(g)
			is.True(!g.Settled(at(tt.from)))
			is.True(g.Settled(at(tt.from + 1)))
			g.Observe("joined", "joined", 2, at(tt.from+2))
			g.Observe("joined too", "joined too", 2, at(tt.from+2))
			is.True(g.Settled(at(tt.from + 2)))
		})
	}
}
