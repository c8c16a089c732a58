package relay

import (
	"bufio"
	"bytes"
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

// reply is what a server answers to one arrival.
type reply struct {
	err    error         // no answer
	wait   time.Duration // before it
	answer ResponseHead
	body   string
	cut    bool // the body breaks off after its bytes
}

// fakeServers plays the servers of a pool: each arrival takes the next reply.
type fakeServers struct {
	mu       sync.Mutex
	replies  []reply
	arrivals []ServerRequest
}

type sendingKey struct{}

func (f *fakeServers) outgoing(ctx context.Context, s ServerRequest) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/", nil).WithContext(context.WithValue(ctx, sendingKey{}, s))
}

// RoundTrip implements http.RoundTripper.
func (f *fakeServers) RoundTrip(r *http.Request) (*http.Response, error) {
	s := r.Context().Value(sendingKey{}).(ServerRequest)
	f.mu.Lock()
	f.arrivals = append(f.arrivals, s)
	next := f.replies[0]
	f.replies = f.replies[1:]
	f.mu.Unlock()
	select {
	case <-time.After(next.wait):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	a := next.answer
	if a.RequestID == "" {
		a.RequestID = "r1"
	}
	a.Signed = a.Status < 300
	var body io.Reader = strings.NewReader(next.body)
	if next.cut {
		body = io.MultiReader(body, errReader{})
	}
	return &http.Response{StatusCode: a.Status, Body: io.NopCloser(body), Request: r, Header: http.Header{"X-Answer": {fmt.Sprint(a)}}}, nil
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

var neverDialled = &net.OpError{Op: "dial", Err: errors.New("refused")}

type bench struct {
	front   *Handler
	servers *fakeServers
	events  []Event
	refuse  *caller.Refusal
	answers map[*http.Response]ResponseHead
}

func newBench(r route.Route, pool route.Pool, replies ...reply) *bench {
	b := &bench{servers: &fakeServers{replies: replies}}
	r.Host, r.Prefix, r.TrafficSplit = "a.example", "/p/", []route.WeightedPool{{Pool: pool.Name, Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = time.Second
	}
	table := route.NewTable(1, []route.Route{r}, []route.Pool{pool}, route.Limits{BodyBytes: 100})
	var reg backend.Registry
	reg.Replace(time.Time{}, []backend.Server{{ID: "i-1", Pool: pool.Name}, {ID: "i-2", Pool: pool.Name}, {ID: "i-3", Pool: pool.Name, Draining: true}})
	budget := &backend.RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	b.front = &Handler{
		Table: func() *route.Table { return table }, Servers: reg.View, RequiredVersion: func(string, string) int64 { return 0 },
		DecodeRequest: func(h http.Header) (RequestHead, error) {
			if h.Get("Id") == "" {
				return RequestHead{}, errors.New("the id is missing")
			}
			return RequestHead{ID: h.Get("Id"), Model: "m", Adapter: "a", LastEventID: h.Get("After")}, nil
		},
		NewServerRequest: b.servers.outgoing, RequestIDHeader: "Id",
		DecodeResponse: func(resp *http.Response) ResponseHead { return b.inspect(resp) },
		Transport:      func(route.Pool) http.RoundTripper { return b.servers },
		Acquire: func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
			if b.refuse != nil {
				return caller.Grant{}, b.refuse
			}
			return caller.Grant{Engine: names[0], ID: w.ID}, nil
		},
		Release:     func(caller.Grant, bool, time.Duration) {},
		RetryBudget: func(string) *backend.RetryBudget { return budget }, Balancer: &backend.Balancer{},
		Observe: func(ev Event) { b.events = append(b.events, ev) },
	}
	return b
}

func (b *bench) inspect(resp *http.Response) ResponseHead {
	a := ResponseHead{Status: resp.StatusCode, RequestID: "r1", Signed: resp.StatusCode < 300, Header: http.Header{}}
	text := resp.Header.Get("X-Answer")
	a.NotRun, a.Misdirected, a.Stream = strings.Contains(text, "notrun"), strings.Contains(text, "misplaced"), strings.Contains(text, "stream")
	if strings.Contains(text, "other") {
		a.RequestID = "other"
	}
	return a
}

// mark returns an answer with what inspect should find in it.
func mark(status int, what string) ResponseHead {
	return ResponseHead{Status: status, Header: http.Header{"Mark": {what}}}
}

// do sends one request and returns the answer as a caller sees it; cut tells
// that the connection broke off.
func (b *bench) do(path, id, body string) (w *httptest.ResponseRecorder, cut bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://a.example"+path, strings.NewReader(body))
	r.Header.Set("Id", id)
	defer func() {
		if v := recover(); v != nil {
			cut = v == http.ErrAbortHandler
		}
	}()
	b.front.ServeHTTP(w, r)
	return w, false
}

func plainPool() route.Pool { return route.Pool{Name: "plain"} }

func TestPlain(t *testing.T) {
	ok := reply{answer: mark(200, ""), body: "whole"}
	shed := reply{answer: mark(503, "notrun")}
	failed := reply{answer: mark(500, ""), body: "failed"}
	reset := reply{err: errors.New("connection reset")}
	refused := reply{err: neverDialled}
	for _, tt := range []struct {
		name     string
		kind     route.Kind
		servers  int // that the route allows
		replies  []reply
		status   int
		arrivals int
	}{
		{"served", route.NonIdempotent, 1, []reply{ok}, 200, 1},
		{"shed, and no other server allowed", route.NonIdempotent, 1, []reply{shed}, 503, 1},
		{"shed, then served elsewhere", route.NonIdempotent, 2, []reply{shed, ok}, 200, 2},
		{"shed by all", route.Idempotent, 3, []reply{shed, shed}, 503, 2},
		{"no connection, then served", route.NonIdempotent, 2, []reply{refused, ok}, 200, 2},
		{"no connection at all", route.NonIdempotent, 1, []reply{refused}, 503, 1},
		{"once: a reset may have run", route.NonIdempotent, 2, []reply{reset}, 502, 1},
		{"once: a failure of the server is passed on", route.NonIdempotent, 2, []reply{failed}, 500, 1},
		{"repeatable: a failure is tried again", route.Idempotent, 2, []reply{failed, ok}, 200, 2},
		{"repeatable: the last failure is passed on", route.Idempotent, 2, []reply{failed, failed}, 500, 2},
		{"repeatable: a reset, then shed: it may have run", route.Idempotent, 2, []reply{reset, shed}, 502, 2},
		{"an answer to another request", route.NonIdempotent, 2, []reply{{answer: mark(200, "other"), body: "x"}}, 502, 1},
		{"an answer that breaks off", route.NonIdempotent, 2, []reply{{answer: mark(200, ""), body: "wh", cut: true}}, 502, 1},
		{"an answer that breaks off is tried again", route.Idempotent, 2, []reply{{answer: mark(200, ""), body: "wh", cut: true}, ok}, 200, 2},
		{"the time runs out", route.NonIdempotent, 1, []reply{{wait: time.Hour}}, 504, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(route.Route{Kind: tt.kind, MaxAttempts: tt.servers}, plainPool(), tt.replies...)
				w, cut := b.do("/p/x", "r1", "body")
				is.True(!cut)
				is.Equal(w.Code, tt.status)
				is.Equal(len(b.servers.arrivals), tt.arrivals)
				if tt.status == 503 {
					is.True(w.Header().Get("Retry-After") != "")
				}
				if tt.status == 200 {
					is.Equal(w.Body.String(), "whole")
				}
				last := b.events[len(b.events)-1]
				is.True(last.Final)
				is.Equal(last.Status, tt.status)
				for _, s := range b.servers.arrivals {
					is.True(s.Server.ID != "i-3") // it is leaving
				}
			})
		})
	}
}

func TestOwnRefusals(t *testing.T) {
	for _, tt := range []struct {
		name, path, id, body string
		status               int
	}{
		{"no route", "/q/x", "r1", "", 404},
		{"no id", "/p/x", "", "", 400},
		{"too large", "/p/x", "r1", strings.Repeat("x", 101), 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool())
			w, _ := b.do(tt.path, tt.id, tt.body)
			is.Equal(w.Code, tt.status)
			is.Equal(len(b.servers.arrivals), 0)
		})
	}
	is := is.New(t)
	b := newBench(route.Route{Kind: route.NonIdempotent}, plainPool())
	b.front.Table = func() *route.Table { return nil }
	w, _ := b.do("/p/x", "r1", "")
	is.Equal(w.Code, 503) // it knows no configuration, so it cannot say 404
	b.front.Close()
	w, _ = b.do("/p/x", "r1", "")
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
		after     []string // the event after which each arrival goes on
	}{
		{"whole", false, []reply{{answer: mark(200, "stream"), body: events(1, 3)}}, 200, events(1, 3), false, []string{""}},
		{"refused there, then granted again", false, []reply{{answer: mark(503, "notrun")}, {answer: mark(200, "stream"), body: events(1, 2)}}, 200, events(1, 2), false, []string{"", ""}},
		{"breaks off before the first event", false, []reply{{answer: mark(200, "stream"), cut: true}}, 502, "", false, []string{""}},
		{"breaks off midway", false, []reply{{answer: mark(200, "stream"), body: events(1, 2), cut: true}}, 200, events(1, 2), true, []string{""}},
		{
			"resumed after the last whole event", true,
			[]reply{{answer: mark(200, "stream"), body: events(1, 2) + "id: 3\nda", cut: true}, {answer: mark(200, "stream"), body: events(3, 4)}},
			200, events(1, 4), false,
			[]string{"", "2"},
		},
		{
			"ends within an event without an error", true,
			[]reply{{answer: mark(200, "stream"), body: events(1, 1) + "id: 2\n"}, {answer: mark(200, "stream"), body: events(2, 3)}},
			200, events(1, 3), false,
			[]string{"", "1"},
		},
		{
			"an event that the caller has is dropped", true,
			[]reply{{answer: mark(200, "stream"), body: events(1, 2), cut: true}, {answer: mark(200, "stream"), body: events(2, 3)}},
			200, events(1, 3), false,
			[]string{"", "2"},
		},
		{
			"no more servers allowed", true,
			[]reply{{answer: mark(200, "stream"), body: events(1, 1), cut: true}, {answer: mark(200, "stream"), body: events(2, 2), cut: true}},
			200, events(1, 2), true,
			[]string{"", "1"},
		},
		{"the engine's own failure", false, []reply{{answer: mark(500, ""), body: "failed"}}, 500, "failed", false, []string{""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(route.Route{Kind: route.Stream, Resumable: tt.resumable, MaxAttempts: 2}, enginePool(), tt.replies...)
				w, cut := b.do("/p/x", "r1", "")
				is.Equal(w.Code, tt.status)
				is.Equal(cut, tt.cut)
				if tt.status != 502 {
					is.Equal(w.Body.String(), tt.body)
				}
				var after []string
				for _, s := range b.servers.arrivals {
					after = append(after, s.LastEventID)
				}
				is.Equal(after, tt.after)
			})
		})
	}
}

// A refusal says when to come back, and a request that may have run is never
// said not to have run.
func TestRefusedByOwners(t *testing.T) {
	is := is.New(t)
	b := newBench(route.Route{Kind: route.Stream, MaxAttempts: 2}, enginePool())
	b.refuse = &caller.Refusal{Reason: engine.TooLate, RetryAfter: 1500 * time.Millisecond}
	w, _ := b.do("/p/x", "r1", "")
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Retry-After"), "1.500")

	b = newBench(route.Route{Kind: route.Stream, MaxAttempts: 3, Resumable: true}, enginePool(), reply{err: errors.New("reset")})
	acquire := b.front.Acquire
	calls := 0
	b.front.Acquire = func(ctx context.Context, names []string, wk engine.Work) (caller.Grant, error) {
		if calls++; calls > 1 {
			return caller.Grant{}, &caller.Refusal{Reason: engine.TooLate}
		}
		return acquire(ctx, names, wk)
	}
	w, _ = b.do("/p/x", "r1", "")
	is.Equal(w.Code, 502)
}

// An engine that was asked without a grant and does not hold the adapter is not
// asked again.
func TestUngrantedEngineIsLeftOut(t *testing.T) {
	is := is.New(t)
	b := newBench(route.Route{Kind: route.Stream, MaxAttempts: 2}, enginePool(),
		reply{answer: mark(421, "notrun misplaced")}, reply{answer: mark(200, "stream"), body: events(1, 1)})
	b.front.Acquire = func(_ context.Context, names []string, _ engine.Work) (caller.Grant, error) {
		return caller.Grant{Engine: names[0]}, nil
	}
	w, _ := b.do("/p/x", "r1", "")
	is.Equal(w.Code, 200)
	is.Equal(b.servers.arrivals[0].Server.ID, "i-1")
	is.Equal(b.servers.arrivals[1].Server.ID, "i-2")
}

func TestLeavingClosesConnections(t *testing.T) {
	is := is.New(t)
	b := newBench(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool(), reply{answer: mark(200, ""), body: "whole"})
	b.front.ShuttingDown = func() bool { return true }
	w, _ := b.do("/p/x", "r1", "")
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get("Connection"), "close")
}

// A caller that leaves ends the work at the server.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainPool(), reply{wait: time.Hour})
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", nil).WithContext(ctx)
		r.Header.Set("Id", "r1")
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		func() {
			defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
			b.front.ServeHTTP(httptest.NewRecorder(), r)
		}()
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(b.events[0].Kind, CallerGone)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newEventReader(bytes.NewReader(b))
		var whole []byte
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			whole = append(whole, ev.raw...)
		}
		if !bytes.HasPrefix(b, whole) {
			t.Error("the events are not the stream's bytes")
		}
	})
}

func TestEventReaderLimits(t *testing.T) {
	is := is.New(t)
	r := &eventReader{bufio.NewReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4)))}
	_, err := r.next()
	is.True(err != nil && err != io.ErrUnexpectedEOF)
}
