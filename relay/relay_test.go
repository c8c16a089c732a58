package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// reply is a server's response to one request.
type reply struct {
	err       error         // returned by RoundTrip instead of a response
	delay     time.Duration // delay before the response
	head      ResponseHead
	body      string
	truncated bool          // the body fails after its last byte
	bodyDelay time.Duration // delay before it fails
}

// stubServers is a round tripper that stands for the servers of a pool. Each
// request consumes the next reply.
type stubServers struct {
	mu       sync.Mutex
	replies  []reply
	requests []ServerRequest
}

type serverRequestKey struct{}

func (s *stubServers) newRequest(ctx context.Context, sr ServerRequest) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/", nil).WithContext(context.WithValue(ctx, serverRequestKey{}, sr))
}

// RoundTrip implements http.RoundTripper.
func (s *stubServers) RoundTrip(r *http.Request) (*http.Response, error) {
	sr := r.Context().Value(serverRequestKey{}).(ServerRequest)
	s.mu.Lock()
	s.requests = append(s.requests, sr)
	next := s.replies[0]
	s.replies = s.replies[1:]
	s.mu.Unlock()
	select {
	case <-time.After(next.delay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	head := next.head
	if head.RequestID == "" {
		head.RequestID = "r1"
	}
	head.Signed = head.Status < 300
	var body io.Reader = strings.NewReader(next.body)
	if next.truncated {
		body = io.MultiReader(body, errReader{r.Context(), next.bodyDelay})
	}
	return &http.Response{StatusCode: head.Status, Body: io.NopCloser(body), Request: r, Header: http.Header{"X-Answer": {fmt.Sprint(head)}}}, nil
}

// errReader fails after a delay, or when the request ends.
type errReader struct {
	ctx   context.Context
	delay time.Duration
}

func (r errReader) Read([]byte) (int, error) {
	select {
	case <-time.After(r.delay):
		return 0, errors.New("connection reset")
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

var errDial = &net.OpError{Op: "dial", Err: errors.New("refused")}

type fixture struct {
	handler   *Handler
	servers   *stubServers
	registry  *backend.Registry
	events    []Event
	refusal   *caller.Refusal
	responses map[*http.Response]ResponseHead
	decodeID  string // of the request that responses are to; "r1" if it is empty
}

func newFixture(r route.Route, pool route.Pool, replies ...reply) *fixture {
	f := &fixture{servers: &stubServers{replies: replies}}
	r.Host, r.Prefix, r.TrafficSplit = "a.example", "/p/", []route.WeightedPool{{Pool: pool.Name, Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = time.Second
	}
	table := route.NewTable(1, []route.Route{r}, []route.Pool{pool}, route.Limits{BodyBytes: 100})
	f.registry = &backend.Registry{}
	f.registry.Replace(time.Time{}, []backend.Server{{ID: "i-1", Pool: pool.Name}, {ID: "i-2", Pool: pool.Name}, {ID: "i-3", Pool: pool.Name, Draining: true}})
	budget := &backend.RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	f.handler = &Handler{
		Table: func() *route.Table { return table }, Servers: f.registry.View, RequiredVersion: func(string, string) int64 { return 0 },
		DecodeRequest: func(h http.Header) (RequestHead, error) {
			if h.Get("Id") == "" {
				return RequestHead{}, errors.New("the id is missing")
			}
			return RequestHead{ID: h.Get("Id"), Model: "m", Adapter: "a", LastEventID: h.Get("After"), Key: h.Get("Key")}, nil
		},
		NewServerRequest: f.servers.newRequest, RequestIDHeader: "Id",
		RecordAsks: func(s *backend.Server, _ time.Time, a backend.Asks) {
			if a.Draining {
				f.registry.SetDraining(s)
			}
		},
		DecodeResponse: func(resp *http.Response) ResponseHead { return f.decodeResponse(resp) },
		Transport:      func(route.Pool) http.RoundTripper { return f.servers },
		Acquire: func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
			if f.refusal != nil {
				return caller.Grant{}, f.refusal
			}
			return caller.Grant{Engine: names[0], ID: w.ID}, nil
		},
		Release:     func(caller.Grant, bool, time.Duration) {},
		RetryBudget: func(string) *backend.RetryBudget { return budget }, Balancer: &backend.Balancer{},
		Observe: func(ev Event) { f.events = append(f.events, ev) },
	}
	return f
}

func (f *fixture) decodeResponse(resp *http.Response) ResponseHead {
	head := ResponseHead{Status: resp.StatusCode, RequestID: cmp.Or(f.decodeID, "r1"), Signed: resp.StatusCode < 300, Header: http.Header{}}
	marks := resp.Header.Get("X-Answer")
	head.NotRun, head.Misdirected, head.Stream = strings.Contains(marks, "notrun"), strings.Contains(marks, "misplaced"), strings.Contains(marks, "stream")
	head.Asks.Draining = strings.Contains(marks, "draining")
	if strings.Contains(marks, "other") {
		head.RequestID = "other"
	}
	return head
}

// testHead returns a response head with marks that decodeResponse looks for.
func testHead(status int, marks string) ResponseHead {
	return ResponseHead{Status: status, Header: http.Header{"Mark": {marks}}}
}

// serve sends one request and returns the response that the caller sees; cut
// reports whether the handler aborted the connection.
func (f *fixture) serve(path, id, body string) (w *httptest.ResponseRecorder, cut bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://a.example"+path, strings.NewReader(body))
	r.Header.Set("Id", id)
	defer func() {
		if v := recover(); v != nil {
			cut = v == http.ErrAbortHandler
		}
	}()
	f.handler.ServeHTTP(w, r)
	return w, false
}

func plainPool() route.Pool { return route.Pool{Name: "plain"} }

func TestPlain(t *testing.T) {
	ok := reply{head: testHead(200, ""), body: "whole"}
	rejected := reply{head: testHead(503, "notrun")}
	failed := reply{head: testHead(500, ""), body: "failed"}
	reset := reply{err: errors.New("connection reset")}
	refused := reply{err: errDial}
	for _, tt := range []struct {
		name     string
		kind     route.Kind
		servers  int // the route's MaxAttempts
		replies  []reply
		status   int
		requests int
	}{
		{"served", route.NonIdempotent, 1, []reply{ok}, 200, 1},
		{"rejected, and no other server allowed", route.NonIdempotent, 1, []reply{rejected}, 503, 1},
		{"rejected, then served by another server", route.NonIdempotent, 2, []reply{rejected, ok}, 200, 2},
		{"rejected by all servers", route.Idempotent, 3, []reply{rejected, rejected}, 503, 2},
		{"connection refused, then served", route.NonIdempotent, 2, []reply{refused, ok}, 200, 2},
		{"connection refused by the only server", route.NonIdempotent, 1, []reply{refused}, 503, 1},
		{"not idempotent: a reset request may have run", route.NonIdempotent, 2, []reply{reset}, 502, 1},
		{"not idempotent: an error response is forwarded", route.NonIdempotent, 2, []reply{failed}, 500, 1},
		{"idempotent: an error response is retried", route.Idempotent, 2, []reply{failed, ok}, 200, 2},
		{"idempotent: the last error response is forwarded", route.Idempotent, 2, []reply{failed, failed}, 500, 2},
		{"idempotent: reset, then rejected: the request may have run", route.Idempotent, 2, []reply{reset, rejected}, 502, 2},
		{"response to another request", route.NonIdempotent, 2, []reply{{head: testHead(200, "other"), body: "x"}}, 502, 1},
		{"refusal of another request", route.NonIdempotent, 2, []reply{{head: testHead(503, "notrun other")}, ok}, 502, 1},
		{"idempotent: refusal of another request", route.Idempotent, 2, []reply{{head: testHead(503, "notrun other")}, ok}, 200, 2},
		{"incomplete response", route.NonIdempotent, 2, []reply{{head: testHead(200, ""), body: "wh", truncated: true}}, 502, 1},
		{"idempotent: an incomplete response is retried", route.Idempotent, 2, []reply{{head: testHead(200, ""), body: "wh", truncated: true}, ok}, 200, 2},
		{"deadline exceeded", route.NonIdempotent, 1, []reply{{delay: time.Hour}}, 504, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(route.Route{Kind: tt.kind, MaxAttempts: tt.servers}, plainPool(), tt.replies...)
				w, cut := f.serve("/p/x", "r1", "body")
				is.True(!cut)
				is.Equal(w.Code, tt.status)
				is.Equal(len(f.servers.requests), tt.requests)
				if tt.status == 503 {
					is.True(w.Header().Get("Retry-After") != "")
				}
				if tt.status == 200 {
					is.Equal(w.Body.String(), "whole")
				}
				last := f.events[len(f.events)-1]
				is.True(last.Final)
				is.Equal(last.Status, tt.status)
				for _, s := range f.servers.requests {
					is.True(s.Server.ID != "i-3") // i-3 is draining
				}
			})
		})
	}
}

func TestRejectedBeforeForwarding(t *testing.T) {
	for _, tt := range []struct {
		name, path, id, body string
		status               int
	}{
		{"no route", "/q/x", "r1", "", 404},
		{"no request ID", "/p/x", "", "", 400},
		{"too large", "/p/x", "r1", strings.Repeat("x", 101), 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool())
			w, _ := f.serve(tt.path, tt.id, tt.body)
			is.Equal(w.Code, tt.status)
			is.Equal(len(f.servers.requests), 0)
		})
	}
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.NonIdempotent}, plainPool())
	f.handler.Table = func() *route.Table { return nil }
	w, _ := f.serve("/p/x", "r1", "")
	is.Equal(w.Code, 503) // without a configuration the node cannot return 404
	f.handler.Close()
	w, _ = f.serve("/p/x", "r1", "")
	is.Equal(w.Code, 503)
}

func enginePool() route.Pool {
	return route.Pool{Name: "engines", Engine: &route.Engine{BatchSize: 4, TokensPerEvent: 5}}
}

func events(from, to int) string {
	var sb strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&sb, "id: %d\ndata: x\n\n", i)
	}
	return sb.String()
}

func TestStreams(t *testing.T) {
	for _, tt := range []struct {
		name      string
		resumable bool
		replies   []reply
		status    int
		body      string
		cut       bool
		lastIDs   []string // LastEventID of each request to a server
	}{
		{"whole", false, []reply{{head: testHead(200, "stream"), body: events(1, 3)}}, 200, events(1, 3), false, []string{""}},
		{"rejected by the engine, then granted again", false, []reply{{head: testHead(503, "notrun")}, {head: testHead(200, "stream"), body: events(1, 2)}}, 200, events(1, 2), false, []string{"", ""}},
		{"interrupted before the first event", false, []reply{{head: testHead(200, "stream"), truncated: true}}, 502, "", false, []string{""}},
		{"interrupted after two events", false, []reply{{head: testHead(200, "stream"), body: events(1, 2), truncated: true}}, 200, events(1, 2), true, []string{""}},
		{
			"resumed after the last complete event", true,
			[]reply{{head: testHead(200, "stream"), body: events(1, 2) + "id: 3\nda", truncated: true}, {head: testHead(200, "stream"), body: events(3, 4)}},
			200, events(1, 4), false,
			[]string{"", "2"},
		},
		{
			"EOF within an event", true,
			[]reply{{head: testHead(200, "stream"), body: events(1, 1) + "id: 2\n"}, {head: testHead(200, "stream"), body: events(2, 3)}},
			200, events(1, 3), false,
			[]string{"", "1"},
		},
		{
			"duplicate event after a resume is dropped", true,
			[]reply{{head: testHead(200, "stream"), body: events(1, 2), truncated: true}, {head: testHead(200, "stream"), body: events(2, 3)}},
			200, events(1, 3), false,
			[]string{"", "2"},
		},
		{
			"interrupted on the last server that the route allows", true,
			[]reply{{head: testHead(200, "stream"), body: events(1, 1), truncated: true}, {head: testHead(200, "stream"), body: events(2, 2), truncated: true}},
			200, events(1, 2), true,
			[]string{"", "1"},
		},
		{"error response of the engine", false, []reply{{head: testHead(500, ""), body: "failed"}}, 500, "failed", false, []string{""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(route.Route{Kind: route.Stream, Resumable: tt.resumable, MaxAttempts: 2}, enginePool(), tt.replies...)
				w, cut := f.serve("/p/x", "r1", "")
				is.Equal(w.Code, tt.status)
				is.Equal(cut, tt.cut)
				if tt.status != 502 {
					is.Equal(w.Body.String(), tt.body)
				}
				var lastIDs []string
				for _, s := range f.servers.requests {
					lastIDs = append(lastIDs, s.LastEventID)
				}
				is.Equal(lastIDs, tt.lastIDs)
			})
		})
	}
}

// If no engine grants the request, the response has a Retry-After time. If an
// earlier attempt may have run, the status must not guarantee that it has not.
func TestAcquireRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 2}, enginePool())
	f.refusal = &caller.Refusal{Reason: engine.DeadlineUnmet, RetryAfter: 1500 * time.Millisecond}
	w, _ := f.serve("/p/x", "r1", "")
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Retry-After"), "1.500")

	f = newFixture(route.Route{Kind: route.Stream, MaxAttempts: 3, Resumable: true}, enginePool(), reply{err: errors.New("reset")})
	acquire := f.handler.Acquire
	calls := 0
	f.handler.Acquire = func(ctx context.Context, names []string, wk engine.Work) (caller.Grant, error) {
		if calls++; calls > 1 {
			return caller.Grant{}, &caller.Refusal{Reason: engine.DeadlineUnmet}
		}
		return acquire(ctx, names, wk)
	}
	w, _ = f.serve("/p/x", "r1", "")
	is.Equal(w.Code, 502)
}

// An engine that was used without a grant and lacks the adapter is excluded
// from further attempts.
func TestMisdirectedEngineExcluded(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 2}, enginePool(),
		reply{head: testHead(421, "notrun misplaced")}, reply{head: testHead(200, "stream"), body: events(1, 1)})
	f.handler.Acquire = func(_ context.Context, names []string, _ engine.Work) (caller.Grant, error) {
		return caller.Grant{Engine: names[0]}, nil
	}
	w, _ := f.serve("/p/x", "r1", "")
	is.Equal(w.Code, 200)
	is.Equal(f.servers.requests[0].Server.ID, "i-1")
	is.Equal(f.servers.requests[1].Server.ID, "i-2")
}

// When a caller disconnects, its request to the server is cancelled.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool(), reply{delay: time.Hour})
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", nil).WithContext(ctx)
		r.Header.Set("Id", "r1")
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		func() {
			defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
		}()
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(f.events[0].Kind, CallerDisconnected)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newEventReader(bytes.NewReader(b))
		var joined []byte
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			joined = append(joined, ev.raw...)
		}
		if !bytes.HasPrefix(b, joined) {
			t.Error("concatenated events differ from the stream")
		}
	})
}

func TestEventReaderLimits(t *testing.T) {
	is := is.New(t)
	r := &eventReader{r: bufio.NewReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4)))}
	_, err := r.next()
	is.True(err != nil && err != io.ErrUnexpectedEOF)
}
