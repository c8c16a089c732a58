package backend

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestBrittleServer(t *testing.T) {
	is := is.New(t)
	now, s := time.Unix(100, 0), &Server{ID: "s", StartMS: 5, MaxRequests: 6}
	b := Balancer{Places: func(s *Server) int { return DealPlaces(s, []string{"a", "b", "c"})["a"] }}
	pick := func() (done func()) {
		picked, end := b.Pick(now, []*Server{s}, nil)
		if picked == nil {
			return nil
		}
		return func() { end(now, false) }
	}
	for range 10 { // sound servers have no bound
		is.True(pick() != nil)
	}
	is.True(b.Brittle.Observe(now, s, Asks{Brittle: true, MaxRefusals: 5}))
	is.True(!b.Brittle.Observe(now, s, Asks{Brittle: true, MaxRefusals: 5}))
	is.True(pick() == nil)
	is.True(b.HasFull(now, []*Server{s}, nil))

	s = &Server{ID: "s", StartMS: 6, MaxRequests: 6} // the next incarnation has stated nothing
	is.True(pick() != nil)
	is.True(b.Brittle.Observe(now, s, Asks{BrittleErr: errors.New("not a number")}))
	refusals, ok := b.Brittle.Refusals(now, s)
	is.True(ok)
	is.Equal(refusals, float64(unreadableRefusals))
	done := pick()
	is.True(done != nil)
	is.True(pick() == nil)
	done()
	is.True(pick() != nil)

	b.ObserveNoRoom(now, s)
	is.True(!b.IsUsable(now, s))
	is.True(!b.HasFull(now, []*Server{s}, nil)) // a place alone would not help
	is.True(b.Brittle.Observe(now, s, Asks{}))
	_, ok = b.Brittle.Refusals(now, s)
	is.True(!ok)
}

// Guards against servers that fall over, since many nodes have their requests turned away at the same time and
// come back at the same time. Nodes have more requests than the server has places.
func TestRefusalsOfManyNodesStayWithinWhatAServerBears(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		spell    = 30 * time.Second
		allowed  = 2 // falls in a spell, for fewer than ten servers
		workTime = 60 * time.Millisecond
	)
	for _, nodes := range []int{7, 40, 100} {
		for _, refusals := range []float64{3, 10} {
			is := is.New(t)
			s := &Server{ID: "s", MaxRequests: 4}
			now := time.Unix(100, 0)
			names := make([]string, nodes)
			for i := range names {
				names[i] = "front-" + strconv.Itoa(i)
			}
			known := func(i int) []string { // one node in eight does not know of another one yet
				if i%8 == 0 {
					return names[:nodes-1]
				}
				return names
			}
			balancers := make([]Balancer, nodes)
			for i := range balancers {
				places := DealPlaces(s, known(i))[names[i]]
				balancers[i].Places = func(*Server) int { return places }
				balancers[i].Brittle.Observe(now, s, Asks{Brittle: true, MaxRefusals: refusals})
			}
			var ends []time.Time // of the requests that run
			var running []func(now time.Time, failed bool)
			var refused []time.Time
			falls, served := 0, 0
			for start := now; now.Sub(start) < spell; now = now.Add(step) {
				for len(ends) > 0 && !now.Before(ends[0]) {
					running[0](now, false)
					ends, running = ends[1:], running[1:]
				}
				for i := range balancers {
					if _, ok := balancers[i].Brittle.Refusals(now, s); !ok {
						balancers[i].Brittle.Observe(now, s, Asks{Brittle: true, MaxRefusals: refusals})
					}
					picked, done := balancers[i].Pick(now, []*Server{s}, nil)
					if picked == nil {
						continue
					}
					if len(ends) < s.MaxRequests {
						ends = append(ends, now.Add(workTime))
						running = append(running, done)
						served++
						continue
					}
					done(now, false)
					balancers[i].ObserveNoRoom(now, s)
					refused = append(slices.DeleteFunc(refused, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
					if float64(len(refused)) > refusals {
						falls++
						refused = nil
					}
				}
			}
			t.Logf("%d nodes, %v refusals a second: %d falls, %d requests served", nodes, refusals, falls, served)
			if falls > allowed {
				t.Errorf("%d nodes, %v refusals a second: %d falls", nodes, refusals, falls)
			}
			is.True(served > 0)
		}
	}
}

func TestPlacesOfAllNodesAreThoseOfTheServer(t *testing.T) {
	for _, nodes := range []int{1, 3, 7, 89} {
		is := is.New(t)
		var names []string
		for i := range nodes {
			names = append(names, strconv.Itoa(i))
		}
		for _, s := range []*Server{{ID: "a", MaxRequests: 6}, {ID: "b", MaxRequests: 100}} {
			sum := 0
			for _, places := range DealPlaces(s, names) {
				sum += places
			}
			is.Equal(sum, s.MaxRequests)
		}
	}
}
