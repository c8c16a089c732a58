package caller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Concurrent requests all receive the same queue waits, and must not all join
// one queue. With two engines of equal speed, the queues may differ only by
// the wait that a request tolerates, plus one request.
func TestConcurrentRequestsSpreadOverQueues(t *testing.T) {
	for _, tt := range []struct {
		name   string
		queued [2]int // queue lengths before the concurrent requests
	}{
		{"equal queues", [2]int{5, 5}},
		{"one queue is longer", [2]int{8, 4}},
		{"one queue is much longer", [2]int{60, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const requests, requestTime = 24, 600 * time.Millisecond
				names := []string{"e0", "e1"}
				var mu sync.Mutex
				queueLength := map[string]int{"e0": tt.queued[0], "e1": tt.queued[1]}
				a := &Acquirer{Router: engine.NewRouter(engine.RouterConfig{}), Mu: &sync.Mutex{}, SpendRetry: func() bool { return false }}
				a.RequestGrant = func(_ context.Context, name string, w engine.Work) (Grant, error) {
					time.Sleep(time.Millisecond) // lets all requests be sent before the first reply
					mu.Lock()
					defer mu.Unlock()
					if wait := time.Duration(queueLength[name]) * requestTime; w.MaxWait > 0 && wait > w.MaxWait {
						return Grant{}, &Refusal{Reason: engine.Overflow, QueueWait: wait}
					}
					queueLength[name]++
					return Grant{ID: w.ID, Engine: name}, nil
				}
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						_, err := a.Acquire(t.Context(), GrantRequest{
							Work:    engine.Work{ID: fmt.Sprint(i), Adapter: "a", ExpectedTokens: 150, Deadline: time.Now().Add(time.Minute)},
							Engines: names, MaxQueueWait: 100 * time.Millisecond,
						})
						is.NoErr(err)
					})
				}
				wg.Wait()
				longest, shortest := max(queueLength["e0"], queueLength["e1"]), min(queueLength["e0"], queueLength["e1"])
				if tt.queued[0] > shortest { // there are too few requests to even out the queues
					is.Equal(queueLength["e0"], tt.queued[0])
					return
				}
				is.True(float64(longest) <= float64(shortest)*(1+1.0/waitToleranceDivisor)+1)
			})
		})
	}
}

// If no engine that has loaded the adapter has an owner, the request goes to the
// first of these engines in order of queue wait, not to the last one tried.
func TestEnginesWithoutOwnerKeepOrder(t *testing.T) {
	is := is.New(t)
	var requested []string
	a := &Acquirer{
		Router: engine.NewRouter(engine.RouterConfig{}), Mu: &sync.Mutex{}, SpendRetry: func() bool { return false },
		HasLoaded: func(string, string) bool { return true }, Release: func(Grant) {},
		RequestGrant: func(_ context.Context, name string, _ engine.Work) (Grant, error) {
			requested = append(requested, name)
			return Grant{}, &Refusal{Reason: engine.NoOwner}
		},
	}
	g, err := a.Acquire(t.Context(), GrantRequest{
		Work: engine.Work{ID: "1", Adapter: "m/a", Deadline: time.Now().Add(time.Second)}, Engines: []string{"e0", "e1", "e2"},
	})
	is.NoErr(err)
	is.Equal(len(requested), 3)
	is.Equal(g.Engine, requested[0])
}

// Guards against a request that waits until its deadline for the owner of an engine which
// this node must send nothing.
func TestAcquireEndsWithoutUsableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var requested []string
		start := time.Now()
		usableFor := map[string]time.Duration{"e0": OwnerChangeDelay / 2, "e1": 3 * OwnerChangeDelay / 2}
		a := &Acquirer{
			Router: engine.NewRouter(engine.RouterConfig{}), Mu: &sync.Mutex{}, SpendRetry: func() bool { return false },
			CanUse: func(name string) bool { return time.Since(start) < usableFor[name] },
			RequestGrant: func(_ context.Context, name string, _ engine.Work) (Grant, error) {
				requested = append(requested, name)
				return Grant{}, &Refusal{Reason: engine.NoOwner}
			},
		}
		_, err := a.Acquire(t.Context(), GrantRequest{
			Work: engine.Work{ID: "1", Adapter: "m/a", Deadline: start.Add(time.Minute)}, Engines: []string{"e0", "e1"},
		})
		is.True(err != nil)
		is.Equal(time.Since(start), 2*OwnerChangeDelay)
		is.Equal(len(requested), 3)
		is.Equal(requested[2], "e1")
	})
}

// Guards against requests that wait for an engine and take the processors of its owner and of others
// ten times a second each.
func TestWaitForAnOwnerAsksLessAndLess(t *testing.T) {
	is := is.New(t)
	for attempt, want := range []time.Duration{100, 100, 200, 400, 400, 400} {
		is.Equal(ownerChangeDelay(attempt), want*time.Millisecond)
	}
	is.Equal(ownerChangeDelay(1000), maxOwnerChangeDelay)
}
