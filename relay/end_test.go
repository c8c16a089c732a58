package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// A search for a grant whose request has ended may return an engine without an owner. The
// request was then reported as sent, though it never was.
func TestRequestThatEndsInQueueIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(), reply{delay: time.Hour})
		f.handler.Acquire = func(ctx context.Context, names []string, _ engine.Work) (caller.Grant, error) {
			<-ctx.Done()
			return caller.Grant{Engine: names[0]}, nil
		}
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(len(f.servers.requests), 0)
		is.Equal(f.events[0].Kind, ExpiredUnsent)
	})
}

// At the end of the grace period, requests in flight were cut without an answer.
func TestEndAnswersRequestsInFlight(t *testing.T) {
	for _, tt := range []struct {
		name   string
		queued bool
		reply  reply
		kind   ErrorKind
		status int
	}{
		{"queued", true, reply{}, NotReady, http.StatusServiceUnavailable},
		{"sent", false, reply{delay: time.Hour}, TimedOut, http.StatusGatewayTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1, Timeout: time.Minute}, enginePool(), tt.reply)
				if tt.queued {
					f.handler.Acquire = func(ctx context.Context, _ []string, _ engine.Work) (caller.Grant, error) {
						<-ctx.Done()
						return caller.Grant{}, ctx.Err()
					}
				}
				time.AfterFunc(time.Second, f.handler.End)
				start := time.Now()
				w, cut := f.serve("/p/x", "r1", "")
				is.True(!cut)
				is.Equal(time.Since(start), time.Second)
				is.Equal(w.Code, tt.status)
				is.Equal(f.events[0].Kind, tt.kind)
				w, _ = f.serve("/p/x", "r2", "") // later ones are rejected
				is.Equal(w.Code, http.StatusServiceUnavailable)
			})
		})
	}
}

// A body that does not end kept its request waiting until the process ended.
func TestEndAnswersIncompleteBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute}, plainPool())
	reading := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reading)
		f.handler.ServeHTTP(w, r)
	}))
	defer srv.Close()
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() {
		_, _ = io.Copy(pw, strings.NewReader("half")) // fails when the response has come
		<-reading
		f.handler.End()
	}()
	r, err := http.NewRequest(http.MethodPost, srv.URL+"/p/x", pr)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Id", "r1")
	resp, err := srv.Client().Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(f.servers.requests), 0)
}

// Guards against requests that are rejected at once, and whose callers wait for the answer as long
// as they do not send the rest of the body.
func TestRejectionDoesNotWaitForTheBody(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		closed     bool
		status     int
	}{
		{"no route", "/other", false, http.StatusNotFound},
		{"shutting down", "/p/x", true, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute}, plainPool())
			if tt.closed {
				f.handler.Close()
			}
			srv := httptest.NewServer(f.handler)
			defer srv.Close()
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST "+tt.path+" HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 8\r\n\r\nhalf")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.NoErr(resp.Body.Close())
		})
	}
}
