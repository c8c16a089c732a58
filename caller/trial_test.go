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

// Requests that come at the same moment are all told the same waits. They must
// not all join one queue: with two engines of equal speed, no queue may be
// longer than the other by more than what a request accepts, and one more.
func TestHerdSpreadsOverQueues(t *testing.T) {
	for _, tt := range []struct {
		name   string
		queued [2]int // waiting when the herd comes
	}{
		{"equal queues", [2]int{5, 5}},
		{"one queue is longer", [2]int{8, 4}},
		{"one engine is far behind", [2]int{60, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const herd, oneRun = 24, 600 * time.Millisecond
				names := []string{"e0", "e1"}
				var mu sync.Mutex
				queued := map[string]int{"e0": tt.queued[0], "e1": tt.queued[1]}
				a := &Acquirer{Router: engine.NewRouter(engine.RouterConfig{}), Mu: &sync.Mutex{}, SpendRetry: func() bool { return false }}
				a.RequestGrant = func(_ context.Context, name string, w engine.Work) (Grant, error) {
					time.Sleep(time.Millisecond) // so that all have asked before anybody hears
					mu.Lock()
					defer mu.Unlock()
					if wait := time.Duration(queued[name]) * oneRun; w.MaxWait > 0 && wait > w.MaxWait {
						return Grant{}, &Refusal{Reason: engine.Overflow, QueueWait: wait}
					}
					queued[name]++
					return Grant{ID: w.ID, Engine: name}, nil
				}
				var wg sync.WaitGroup
				for i := range herd {
					wg.Go(func() {
						_, err := a.Acquire(t.Context(), GrantRequest{
							Work:    engine.Work{ID: fmt.Sprint(i), Adapter: "a", ExpectedTokens: 150, Deadline: time.Now().Add(time.Minute)},
							Engines: names, MaxQueueWait: 100 * time.Millisecond,
						})
						is.NoErr(err)
					})
				}
				wg.Wait()
				long, short := max(queued["e0"], queued["e1"]), min(queued["e0"], queued["e1"])
				if tt.queued[0] > short { // the herd alone could not even them out
					is.Equal(queued["e0"], tt.queued[0])
					return
				}
				is.True(float64(long) <= float64(short)*(1+1.0/slackPart)+1)
			})
		})
	}
}

// While no holder has an owner, the request goes to the holder that came first in
// the order of their waits, not to the last that was asked.
func TestOwnerlessHoldersKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	var asked []string
	a := &Acquirer{
		Router: engine.NewRouter(engine.RouterConfig{}), Mu: &sync.Mutex{}, SpendRetry: func() bool { return false },
		HoldsAdapter: func(string, string) bool { return true }, Release: func(Grant) {},
		RequestGrant: func(_ context.Context, name string, _ engine.Work) (Grant, error) {
			asked = append(asked, name)
			return Grant{}, &Refusal{Reason: engine.Moved}
		},
	}
	g, err := a.Acquire(t.Context(), GrantRequest{
		Work: engine.Work{ID: "1", Adapter: "m/a", Deadline: time.Now().Add(time.Second)}, Engines: []string{"e0", "e1", "e2"},
	})
	is.NoErr(err)
	is.Equal(len(asked), 3)
	is.Equal(g.Engine, asked[0])
}
