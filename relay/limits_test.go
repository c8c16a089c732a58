package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// endless yields the same byte until its limit, if any, and counts the bytes that were
// read. It then returns err.
type endless struct {
	fill  byte
	limit int // 0 means none
	err   error
	read  int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	if e.limit > 0 {
		p = p[:min(len(p), e.limit-e.read)]
		if len(p) == 0 {
			return 0, e.err
		}
	}
	for i := range p {
		p[i] = e.fill
	}
	e.read += len(p)
	return len(p), nil
}

// countingWriter counts the bytes of a response and how many bytes of the body had been read
// when the first one was written.
type countingWriter struct {
	*httptest.ResponseRecorder
	source      *endless
	written     int
	readAtFirst int
	afterWrite  func(written int)
}

func (w *countingWriter) Write(p []byte) (int, error) {
	if w.written == 0 {
		w.readAtFirst = w.source.read
	}
	w.written += len(p)
	if w.afterWrite != nil {
		w.afterWrite(w.written)
	}
	return len(p), nil
}

// serveBody serves one request to a server that sends the given body.
func serveBody(w http.ResponseWriter, f *fixture, status int, marks string, body io.Reader) (cut bool) {
	f.handler.Transport = func(route.Pool) http.RoundTripper {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			stop := make(chan struct{})
			go func() { <-r.Context().Done(); close(stop) }()
			return &http.Response{
				StatusCode: status, Request: r, ContentLength: -1, Header: http.Header{"X-Answer": {marks}},
				Body: io.NopCloser(readerFunc(func(p []byte) (int, error) {
					select {
					case <-stop:
						return 0, r.Context().Err()
					default:
						return body.Read(p)
					}
				})),
			}, nil
		})
	}
	r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", strings.NewReader(""))
	r.Header.Set("Id", "r1")
	defer func() {
		if v := recover(); v != nil {
			cut = v == http.ErrAbortHandler
		}
	}()
	f.handler.ServeHTTP(w, r)
	return false
}

type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against responses that end at a limit of the node and look complete. A response
// of any size reaches the caller whole, or its connection is cut, and only a small part of
// it is in memory.
func TestLargeResponses(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
		err  error
		cut  bool
	}{
		{"17 MiB", 17 << 20, io.EOF, false},
		{"17 MiB, then a reset", 17 << 20, errors.New("connection reset"), true},
		{"exactly the buffer", maxBufferedResponse, io.EOF, false},
		{"one byte more than the buffer", maxBufferedResponse + 1, io.EOF, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body := &endless{fill: 'x', limit: tt.size, err: tt.err}
			w := &countingWriter{ResponseRecorder: httptest.NewRecorder(), source: body}
			f := newFixture(route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Minute}, plainPool())
			is.Equal(serveBody(w, f, 200, "", body), tt.cut)
			is.Equal(w.Code, 200)
			is.Equal(w.written, tt.size)
			is.True(w.readAtFirst <= 2*maxBufferedResponse)
			is.Equal(f.events[len(f.events)-1].Kind == "", !tt.cut)
		})
	}
}

// An error response that does not fit the buffer is not forwarded in part.
func TestLargeErrorResponse(t *testing.T) {
	is := is.New(t)
	body := &endless{fill: 'x'}
	w := &countingWriter{ResponseRecorder: httptest.NewRecorder(), source: body}
	f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute}, plainPool())
	is.True(!serveBody(w, f, 500, "", body))
	is.Equal(w.Code, 502)
	is.True(body.read <= 2*maxBufferedResponse)
}

// Guards against events without an end that fill the memory of a node.
func TestEndlessEvents(t *testing.T) {
	for _, tt := range []struct {
		name string
		fill byte
		body string
	}{
		{"one line", 'x', ""},
		{"one line of a later event", 'x', "id: 1\ndata: x\n\nid: 2\ndata:"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body := &endless{fill: tt.fill}
			events := newEventReader(io.MultiReader(strings.NewReader(tt.body), body))
			var err error
			for err == nil {
				_, err = events.next()
			}
			is.True(err != io.EOF)
			is.True(body.read <= 2*maxEventBytes)
		})
	}
}

// Lines that are no event count towards the limit of the event, however short they are.
func TestEndlessLines(t *testing.T) {
	is := is.New(t)
	read := 0
	events := newEventReader(readerFunc(func(p []byte) (int, error) {
		n := copy(p, ": ping\n")
		read += n
		return n, nil
	}))
	_, err := events.next()
	is.True(err != nil && err != io.EOF)
	is.True(read <= 2*maxEventBytes)
}

// Guards against a server that refuses a request with a body that does not end: the next
// server must be asked at once.
func TestEndlessRefusalDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Minute}, plainPool())
		start := time.Now()
		calls := 0
		f.handler.Transport = func(route.Pool) http.RoundTripper {
			return roundTripper(func(r *http.Request) (*http.Response, error) {
				calls++
				if calls == 2 {
					return &http.Response{StatusCode: 200, Request: r, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
				}
				pr, pw := io.Pipe() // sends a byte now and then
				go func() {
					for {
						time.Sleep(100 * time.Millisecond)
						if _, err := pw.Write([]byte("x")); err != nil {
							return
						}
					}
				}()
				return &http.Response{StatusCode: 503, Request: r, ContentLength: -1, Header: http.Header{"X-Answer": {"notrun"}}, Body: pr}, nil
			})
		}
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(w.Body.String(), "whole")
		is.True(time.Since(start) <= time.Second/4)
		time.Sleep(time.Second) // until the server has seen that its connection is closed
	})
}

// Guards against callers that send a body byte by byte and hold a connection for good.
func TestBodyWithoutEndTimesOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: 300 * time.Millisecond}, plainPool())
	srv := httptest.NewServer(f.handler)
	defer srv.Close()
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() {
		for {
			if _, err := pw.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	r, err := http.NewRequest(http.MethodPost, srv.URL+"/p/x", pr)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Id", "r1")
	start := time.Now()
	resp, err := srv.Client().Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(start) < 3*time.Second)
	is.Equal(len(f.servers.requests), 0)
}

// Guards against requests that reach a leaving engine too late, since they were queued for
// it when it began to drain.
func TestGrantOfDrainingEngineIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(), reply{head: testHead(200, "stream"), body: events(1, 2)})
	granted := []string{"i-3", "i-1"} // i-3 is draining
	f.handler.Acquire = func(_ context.Context, _ []string, w engine.Work) (caller.Grant, error) {
		g := caller.Grant{Engine: granted[0], ID: w.ID}
		granted = granted[1:]
		return g, nil
	}
	w, cut := f.serve("/p/x", "r1", "")
	is.True(!cut)
	is.Equal(w.Body.String(), events(1, 2))
	is.Equal(len(f.servers.requests), 1)
	is.Equal(f.servers.requests[0].Server.ID, "i-1")
}
