package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pace that a few bad values change, that is guessed from too few, or that
// expects the first event of a long prompt as early as that of a short one.
func TestPace(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	p := (&Paces{}).Of(time.Unix(0, 0), &Server{ID: "s"})
	for range minPaceSamples - 1 {
		p.Observe(false, 0, 20*ms)
		p.Observe(true, 100, 50*ms)
	}
	_, ok := p.Time(false, 0)
	is.True(!ok)
	for range paceSamples {
		p.Observe(false, 0, 20*ms)
		p.Observe(true, 100, 50*ms)
	}
	for range 3 {
		p.Observe(false, 0, time.Minute)
	}
	for _, tt := range []struct {
		isFirst bool
		prompt  int
		want    time.Duration
	}{{false, 9000, 20 * ms}, {true, 10, 50 * ms}, {true, 100, 50 * ms}, {true, 1000, 500 * ms}} {
		d, ok := p.Time(tt.isFirst, tt.prompt)
		is.True(ok)
		is.Equal(d, tt.want)
	}
	for range 26 { // events that arrive together
		p.Observe(false, 0, 0)
	}
	for range 6 {
		p.Observe(false, 0, 100*ms)
	}
	d, _ := p.Time(false, 0)
	is.Equal(d, 100*ms)
	for range 10 { // the engine has become slow
		p.Observe(false, 0, time.Second)
	}
	d, _ = p.Time(false, 0)
	is.Equal(d, time.Second)
}

// A server without measured times is judged by the slowest one of its pool, and the times
// of another incarnation are not its own.
func TestPacesOfPool(t *testing.T) {
	is := is.New(t)
	var paces Paces
	now := time.Unix(0, 0)
	servers := []*Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	_, ok := paces.slowest(servers, false, 0)
	is.True(!ok)
	for i, s := range servers[:2] {
		for range minPaceSamples {
			paces.Of(now, s).Observe(false, 0, time.Duration(i+1)*time.Second)
		}
	}
	d, ok := paces.slowest(servers, false, 0)
	is.True(ok)
	is.Equal(d, 2*time.Second)
	_, ok = paces.Of(now, &Server{ID: "a", StartMS: 1}).Time(false, 0)
	is.True(!ok)
	paces.Of(now.Add(2*paceTTL), &Server{ID: "d"})
	is.Equal(len(paces.byName), 1)
}
