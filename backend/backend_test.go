package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func ids(servers []*Server) []string {
	list := []string{}
	for _, s := range servers {
		list = append(list, s.ID)
	}
	return list
}

func TestRegistry(t *testing.T) {
	a, b := Server{ID: "a", Pool: "p"}, Server{ID: "b", Pool: "p"}
	for _, tt := range []struct {
		name string
		do   func(r *Registry)
		want []string
	}{
		{"complete list", func(*Registry) {}, []string{"a", "b"}},
		{"deleted row", func(r *Registry) { r.Remove(t0, "a") }, []string{"b"}},
		{"deleted row of an unknown server", func(r *Registry) { r.Remove(t0, "x") }, []string{"a", "b"}},
		{"row deleted during an outage", func(r *Registry) {
			r.StoreUnavailable()
			r.Remove(t0, "a")
			r.RemoveMissing(t0.Add(time.Hour))
		}, []string{"a", "b"}},
		{"row missing within the grace period after an outage", func(r *Registry) {
			r.StoreUnavailable()
			r.StoreAvailable(t0)
			r.Replace(t0.Add(time.Second), []Server{b})
			r.RemoveMissing(t0.Add(1900 * time.Millisecond))
		}, []string{"a", "b"}},
		{"row missing after the grace period", func(r *Registry) {
			r.StoreUnavailable()
			r.StoreAvailable(t0)
			r.Replace(t0.Add(time.Second), []Server{b})
			r.RemoveMissing(t0.Add(2 * time.Second))
		}, []string{"b"}},
		{"server registers again after an outage", func(r *Registry) {
			r.StoreUnavailable()
			r.Remove(t0, "a")
			r.StoreAvailable(t0)
			r.Put(a)
			r.RemoveMissing(t0.Add(2 * time.Second))
		}, []string{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			is.Equal(r.View(), nil)
			r.Put(a) // no view before the first complete list
			is.Equal(r.View(), nil)
			r.Replace(t0.Add(-time.Hour), []Server{a, b})
			tt.do(&r)
			is.Equal(ids(r.View().Pool("p")), tt.want)
		})
	}
}

func TestBalancer(t *testing.T) {
	is := is.New(t)
	near := &Server{ID: "near", DataCenter: "here"}
	far := &Server{ID: "far", DataCenter: "there"}
	leaving := &Server{ID: "leaving", DataCenter: "here", Draining: true}
	b := &Balancer{DataCenter: "here"}
	all := []*Server{far, leaving, near}
	s, done := b.Pick(t0, all, nil)
	is.Equal(s.ID, "near")
	s, done2 := b.Pick(t0, all, map[string]bool{"near": true})
	is.Equal(s.ID, "far")
	done2(t0, false)
	_, _ = b.Pick(t0, []*Server{near}, nil)
	s, _ = b.Pick(t0, all, nil) // near has two requests in flight
	is.Equal(s.ID, "far")
	done(t0, true)
	s, _ = b.Pick(t0, []*Server{leaving}, nil)
	is.Equal(s, nil)
}

// A failing server is avoided for failureTTL, but its next incarnation is not.
func TestBalancerAvoidsFailingServers(t *testing.T) {
	is := is.New(t)
	bad, good := &Server{ID: "bad"}, &Server{ID: "good"}
	b := &Balancer{}
	for range 5 {
		_, done := b.Pick(t0, []*Server{bad}, nil)
		done(t0, true)
	}
	s, done := b.Pick(t0, []*Server{bad, good}, nil)
	is.Equal(s.ID, "good")
	done(t0, false)
	restarted := &Server{ID: "bad", StartMS: 2}
	_, _ = b.Pick(t0, []*Server{good}, nil)
	s, _ = b.Pick(t0, []*Server{restarted, good}, nil)
	is.Equal(s.ID, "bad")
	_, _ = b.Pick(t0, []*Server{good}, nil)
	s, _ = b.Pick(t0.Add(failureTTL), []*Server{bad, good}, nil)
	is.Equal(s.ID, "bad")
}

// In any window, retries stay within the ratio of the requests plus the slack.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := &RetryBudget{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	for i := range 100 {
		b.CountRequest(t0.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	now := t0.Add(10 * time.Second)
	spent := 0
	for b.TrySpend(now) {
		spent++
	}
	is.Equal(spent, 23)
	is.True(!b.TrySpend(now.Add(9 * time.Second)))
	later := now.Add(11 * time.Second)
	spent = 0
	for b.TrySpend(later) {
		spent++
	}
	is.Equal(spent, 3) // no requests in the window: only the slack remains
	is.True(!(&RetryBudget{}).TrySpend(t0))
}

func ExampleBalancer_Pick() {
	var b Balancer
	s, done := b.Pick(time.Now(), []*Server{{ID: "i-1"}, {ID: "i-2", Draining: true}}, nil)
	fmt.Println(s.ID)
	done(time.Now(), false)
	// Output: i-1
}
