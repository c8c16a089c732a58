package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

const testPause = 4 * time.Second

// newPauseFixture returns a fixture whose servers ask for testPause where a reply has the
// mark "pause".
func newPauseFixture(r route.Route, pool route.Pool, replies ...reply) *fixture {
	f := newFixture(r, pool, replies...)
	f.handler.RecordAsks = func(s *backend.Server, _ time.Time, a backend.Asks) {
		f.handler.Balancer.Pauses.Pause(time.Now(), s, a.Pause)
	}
	f.handler.DecodeResponse = func(resp *http.Response) ResponseHead {
		head := f.decodeResponse(resp)
		if strings.Contains(resp.Header.Get("X-Answer"), "pause") {
			head.Asks.Pause = testPause
		}
		return head
	}
	return f
}

func (f *fixture) pause(d time.Duration, ids ...string) {
	for _, id := range ids {
		s, _ := f.handler.Servers().Server(id)
		f.handler.Balancer.Pauses.Pause(time.Now(), s, d)
	}
}

func retryAfter(is *is.I, h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	is.NoErr(err)
	return time.Duration(seconds * float64(time.Second))
}

var pauseRoutes = []struct {
	name string
	r    route.Route
	pool route.Pool
	ok   reply
}{
	{"plain", route.Route{Kind: route.NonIdempotent}, plainPool(), reply{head: testHead(200, ""), body: "whole"}},
	{"engine", route.Route{Kind: route.Stream}, enginePool(), reply{head: testHead(200, "stream"), body: events(1, 1)}},
}

// Guards against requests that reach a server during the pause that it has asked for. The
// other server takes over; when both have a pause, the caller learns at once when the first
// of them ends, not after its own deadline.
func TestServerAsksForPause(t *testing.T) {
	for _, tt := range pauseRoutes {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				refusal := reply{head: testHead(503, "notrun pause")}
				tt.r.MaxAttempts, tt.r.Timeout, tt.r.TargetLatency = 2, 10*time.Second, time.Second
				f := newPauseFixture(tt.r, tt.pool, refusal, tt.ok, tt.ok, tt.ok, refusal, tt.ok)
				for range 3 {
					w, _ := f.serve("/p/x", "r1", "")
					is.Equal(w.Code, 200)
				}
				first := f.servers.requests[0].Server.ID
				is.Equal(len(f.servers.requests), 4)
				for _, s := range f.servers.requests[1:] {
					is.True(s.Server.ID != first)
				}
				time.Sleep(time.Second)
				for range 2 { // the first request is refused by the other server
					start := time.Now()
					w, _ := f.serve("/p/x", "r1", "")
					is.Equal(w.Code, 503)
					is.Equal(time.Since(start), time.Duration(0))
					left := testPause - time.Second
					is.True(retryAfter(is, w.Header()) >= left)
					is.True(retryAfter(is, w.Header()) <= left+time.Second)
				}
				is.Equal(len(f.servers.requests), 5)
				time.Sleep(testPause - time.Second)
				w, _ := f.serve("/p/x", "r1", "")
				is.Equal(w.Code, 200)
				is.Equal(f.servers.requests[5].Server.ID, first)
			})
		})
	}
}

// A refusal without a time changes nothing, and neither does one of another request.
func TestRefusalWithoutPause(t *testing.T) {
	is := is.New(t)
	ok := reply{head: testHead(200, ""), body: "whole"}
	f := newPauseFixture(route.Route{Kind: route.Idempotent, MaxAttempts: 2}, plainPool(),
		reply{head: testHead(503, "notrun")}, ok, reply{head: testHead(503, "notrun other pause")}, ok)
	for range 2 {
		w, _ := f.serve("/p/x", "r1", "")
		is.Equal(w.Code, 200)
	}
	for _, s := range f.servers.requests {
		is.Equal(f.handler.Balancer.Pauses.Left(time.Now(), s.Server), time.Duration(0))
	}
}

// When all servers have a pause, a request is held if the pause ends early enough for its
// target. One that may have run cannot be rejected as not run, so it is held up to its
// deadline.
func TestHeldForEndOfPause(t *testing.T) {
	const pauseFor = 400 * time.Millisecond
	for _, tt := range pauseRoutes {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.r.MaxAttempts, tt.r.Timeout, tt.r.TargetLatency = 1, 10*time.Second, 2*time.Second
				f := newPauseFixture(tt.r, tt.pool, tt.ok)
				f.pause(pauseFor, "i-1", "i-2")
				start := time.Now()
				w, _ := f.serve("/p/x", "r1", "")
				is.Equal(w.Code, 200)
				is.True(time.Since(start) >= pauseFor)
				is.True(time.Since(start) <= 2*pauseFor)

				f.pause(testPause, "i-1", "i-2")
				start = time.Now()
				x := &exchange{handler: f.handler, start: start, deadline: start.Add(10 * time.Second), route: &tt.r, pool: tt.pool, mayHaveRun: true}
				is.NoErr(x.awaitPauses(context.Background(), func(*backend.Server) bool { return false }))
				is.True(time.Since(start) >= testPause)

				f.pause(testPause, "i-1", "i-2")
				x.deadline = time.Now().Add(testPause)
				err := x.awaitPauses(context.Background(), func(*backend.Server) bool { return false })
				is.Equal(err.(*Error).Status(), 502)
			})
		})
	}
}

// A held request ends with its caller.
func TestHeldRequestOfGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPauseFixture(route.Route{Kind: route.Stream, Timeout: time.Minute}, enginePool())
		f.pause(testPause, "i-1", "i-2")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		r := (&http.Request{Method: http.MethodPost}).WithContext(ctx)
		now := time.Now()
		x := &exchange{handler: f.handler, r: r, start: now, deadline: now.Add(time.Minute), route: &route.Route{}, pool: enginePool()}
		err := x.awaitPauses(ctx, func(*backend.Server) bool { return false })
		is.Equal(err.(*Error).Kind, CallerDisconnected)
		is.Equal(time.Since(now), time.Second)
	})
}

// Guards against a request that was queued for an engine when the engine asked for a
// pause, and reaches it during the pause.
func TestGrantOfPausedEngineIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newPauseFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(), reply{head: testHead(200, "stream"), body: events(1, 2)})
	granted := []string{"i-2", "i-1"}
	var released []string
	f.handler.Release = func(g caller.Grant, _ bool, _ time.Duration) { released = append(released, g.Engine) }
	f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
		g := caller.Grant{Engine: granted[0], ID: w.ID}
		granted = granted[1:]
		if g.Engine == "i-2" {
			is.Equal(names, []string{"i-1", "i-2"})
			f.pause(testPause, "i-2")
		} else {
			is.Equal(names, []string{"i-1"})
		}
		return g, nil
	}
	w, cut := f.serve("/p/x", "r1", "")
	is.True(!cut)
	is.Equal(w.Body.String(), events(1, 2))
	is.Equal(len(f.servers.requests), 1)
	is.Equal(f.servers.requests[0].Server.ID, "i-1")
	is.Equal(released, []string{"i-2", "i-1"})
}

// Guards against a request that waits until its deadline for an owner that cannot load its
// adapter, since the engine asked for a pause while the request was queued.
func TestQueuedForEngineThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPauseFixture(route.Route{Kind: route.Stream, MaxAttempts: 1, Timeout: 10 * time.Second, TargetLatency: time.Second}, enginePool())
		f.handler.Acquire = func(context.Context, []string, engine.Work) (caller.Grant, error) {
			f.pause(testPause, "i-1", "i-2")
			return caller.Grant{}, &caller.Refusal{Reason: engine.LoadFailed}
		}
		start := time.Now()
		w, _ := f.serve("/p/x", "r1", "")
		is.Equal(w.Code, 503)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(retryAfter(is, w.Header()) >= testPause)
	})
}
