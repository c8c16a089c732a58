package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/route"
)

// newRequestFixture returns a fixture of a plain idempotent route whose servers break off each
// attempt, and the quarantine of its requests.
func newRequestFixture(replies ...reply) (*fixture, *backend.RequestQuarantine) {
	f := newFixture(route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: 5 * time.Second}, plainPool(), replies...)
	f.handler.Requests = &backend.RequestQuarantine{}
	return f, f.handler.Requests
}

// Guards against a plain request that crashes two servers with each attempt of its caller.
func TestRequestIsNotSentOnceItCrashedThreeServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := newRequestFixture()
		for range 24 {
			f.servers.replies = append(f.servers.replies, reply{delay: 20 * time.Millisecond, err: errors.New("EOF")})
		}
		restarts := int64(0)
		for range 12 {
			restarts++
			f.registry.Put(backend.Server{ID: "i-1", Pool: "plain", StartMS: restarts}, backend.Server{ID: "i-2", Pool: "plain", StartMS: restarts})
			w, _ := f.serve("/p/x", "r1", "body")
			is.True(w.Code == http.StatusBadGateway || w.Code == http.StatusServiceUnavailable)
			if w.Code == http.StatusServiceUnavailable { // not run
				is.True(strings.Contains(w.Body.String(), string(RequestQuarantined)))
				is.True(w.Header().Get("Retry-After") != "")
			}
			time.Sleep(4 * time.Second)
		}
		is.Equal(len(f.servers.requests), 3)
	})
}

// Guards against servers that seem to be crashed by requests that they ran to the end, or whose
// callers left.
func TestOnlyBrokenOffRequestsAreSuspected(t *testing.T) {
	for _, tt := range []struct {
		name    string
		reply   reply
		crashed bool
	}{
		{"broken off before the header", reply{err: errors.New("connection reset")}, true},
		{"broken off in the body", reply{head: testHead(200, ""), body: "wh", truncated: true}, true},
		{"broken off after it was forwarded in part", reply{head: testHead(200, ""), body: strings.Repeat("x", maxBufferedResponse+1), truncated: true}, true},
		{"complete", reply{head: testHead(200, ""), body: "whole"}, false},
		{"complete error response", reply{head: testHead(500, ""), body: "failed"}, false},
		{"refused by the server", reply{head: testHead(503, "notrun")}, false},
		{"no connection", reply{err: errDial}, false},
		{"deadline", reply{delay: time.Hour}, false},
		{"response to another request", reply{head: testHead(200, "other"), body: "x"}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, q := newRequestFixture(tt.reply, reply{head: testHead(503, "notrun")})
				f.serve("/p/x", "r1", "body")
				toKeepers, _ := q.TakeEvents()
				is.New(t).Equal(len(toKeepers.Crashes) > 0, tt.crashed)
			})
		})
	}
}

// failingWriter is the connection of a caller that has left.
type failingWriter struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against engines that seem to crash when callers leave within a stream.
func TestLeavingCallerIsNoCrashOfItsRequest(t *testing.T) {
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1, Timeout: 5 * time.Second}, enginePool(), reply{head: testHead(200, "stream"), body: events(1, 2)})
	f.handler.Requests = &backend.RequestQuarantine{}
	r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", strings.NewReader("body"))
	r.Header.Set("Id", "r1")
	func() {
		defer func() { _ = recover() }() // the handler aborts the connection
		f.handler.ServeHTTP(failingWriter{httptest.NewRecorder()}, r)
	}()
	toKeepers, _ := f.handler.Requests.TakeEvents()
	is.New(t).True(toKeepers.IsEmpty())
}

// Guards against a trial of a quarantine that crashes a second server.
func TestTrialOfRequestIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, q := newRequestFixture(reply{err: errors.New("EOF")}, reply{err: errors.New("EOF")})
		in := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", nil)
		x := &exchange{r: in}
		is.NoErr(x.body.Fill(strings.NewReader("body"), -1, 4))
		q.Learn(time.Now(), []backend.HeldRequest{{Fingerprint: x.fingerprint(), Left: time.Second, Length: time.Minute}})
		time.Sleep(2 * time.Second)
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, http.StatusBadGateway)
		is.Equal(len(f.servers.requests), 1)
		w, _ = f.serve("/p/x", "r2", "body")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(len(f.servers.requests), 1)
	})
}

// Guards against a sound request that is held back since servers ended under it for other reasons,
// with complete responses in between.
func TestCompleteResponseClearsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := newRequestFixture()
		broken, whole := reply{err: errors.New("EOF")}, reply{head: testHead(200, ""), body: "whole"}
		for i := range 6 {
			f.servers.replies = append(f.servers.replies, broken, whole)
			f.registry.Put(backend.Server{ID: "i-1", Pool: "plain", StartMS: int64(i)}, backend.Server{ID: "i-2", Pool: "plain", StartMS: int64(i)})
			w, _ := f.serve("/p/x", "r1", "body")
			is.Equal(w.Code, http.StatusOK)
			time.Sleep(4 * time.Second)
		}
	})
}
