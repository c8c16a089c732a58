package relay

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against requests that reach an engine beyond its limit since nobody grants them.
func TestEngineWithLimitGetsNothingWithoutGrant(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(), reply{head: testHead(200, "stream"), body: events(1, 2)})
	f.handler.IsLimited = func(s *backend.Server) bool { return s.ID == "i-2" }
	granted := []caller.Grant{{Engine: "i-2"}, {Engine: "i-1"}}
	f.handler.Acquire = func(context.Context, []string, engine.Work) (caller.Grant, error) {
		g := granted[0]
		granted = granted[1:]
		return g, nil
	}
	w, _ := f.serve("/p/x", "r1", "")
	is.Equal(w.Body.String(), events(1, 2))
	is.Equal(len(f.servers.requests), 1)
	is.Equal(f.servers.requests[0].Server.ID, "i-1")
}

// Guards against a request that is refused, or waits, while another server of the pool has
// room within its limit, and against one that waits in vain if none has.
func TestRequestGoesToServerWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: 10 * time.Second, TargetLatency: time.Second}, plainPool(), reply{head: testHead(200, ""), body: "ok"})
		full := map[string]time.Duration{"i-2": 5 * time.Second}
		f.handler.TakeTurn = func(_ context.Context, s *backend.Server) bool {
			if wait := full[s.ID]; wait > 0 {
				f.handler.Balancer.Pauses.DelayTurn(time.Now(), s, wait)
				return false
			}
			return true
		}
		for range 20 {
			f.servers.replies = []reply{{head: testHead(200, ""), body: "ok"}}
			w, _ := f.serve("/p/x", "r1", "")
			is.Equal(w.Code, 200)
		}
		for _, r := range f.servers.requests {
			is.Equal(r.Server.ID, "i-1")
		}
		full["i-1"] = 3 * time.Second
		start := time.Now()
		w, _ := f.serve("/p/x", "r1", "")
		is.Equal(w.Code, 503)
		retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(retryAfter >= 3 && retryAfter <= 4)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(f.servers.requests), 20)
	})
}

// Guards against a limit that seems to have ended, since the response to another request
// states none.
func TestResponseToAnotherRequestEndsNoLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool(), reply{head: testHead(200, "other draining"), body: "ok"})
	var asks []backend.Asks
	f.handler.RecordAsks = func(_ *backend.Server, _ time.Time, a backend.Asks) { asks = append(asks, a) }
	f.serve("/p/x", "r1", "")
	is.Equal(asks, []backend.Asks{{Late: true, Draining: true}})
}
