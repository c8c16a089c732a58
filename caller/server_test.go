package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	testHead    = "GET /quick HTTP/1.1\r\nHost: a.example\r\n\r\n"
	testStart   = "GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n"
	testStream  = "GET /stream HTTP/1.1\r\nHost: a.example\r\n\r\n"
	testGrace   = 10 * time.Second
	testHandler = 2 * time.Second // time that the slow responses take
)

// serverRig is a server in virtual time that is asked to stop.
type serverRig struct {
	server  *caller.Server
	network standin.PipeNetwork
	stopped chan error
}

func newServerRig(set ...func(s *caller.Server)) *serverRig {
	rig := &serverRig{stopped: make(chan error, 1)}
	rig.server = caller.NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			_, _ = io.WriteString(w, "begun ")
			_ = http.NewResponseController(w).Flush()
		}
		if r.URL.Path != "/quick" {
			time.Sleep(testHandler)
		}
		_, _ = io.WriteString(w, "whole")
	})})
	for _, f := range set {
		f(rig.server)
	}
	ln, err := rig.network.Listen("server:1")
	if err != nil {
		panic(err) // the first listener at an address
	}
	go func() { _ = rig.server.Serve(ln) }() // returns after Shutdown
	return rig
}

func (rig *serverRig) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := rig.network.Dial(context.Background(), "tcp", "server:1")
	if err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// stop begins to stop the server.
func (rig *serverRig) stop() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		rig.stopped <- rig.server.Shutdown(ctx)
	}()
	synctest.Wait()
}

// readTestResponse returns "" if the connection ended before the first byte.
func readTestResponse(t *testing.T, r *bufio.Reader) (status, body string, closes bool) {
	t.Helper()
	if _, err := r.Peek(1); err != nil {
		return "", "", true
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.Status, string(b), resp.Close
}

// net/http closes a connection without an answer if it reads the head of a request after
// Shutdown, and a new one whose head is incomplete after five seconds.
func TestStoppingServerAnswersWhatItReads(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string        // written before the server stops, on a new connection
		first  bool          // a request was answered on the connection before
		after  string        // written later
		delay  time.Duration // from the stop until then
		status string
		took   time.Duration // from the stop until the answer
	}{
		{name: "half a head", before: testHead[:20], after: testHead[20:], delay: 7 * time.Second, status: "200 OK", took: 7 * time.Second},
		{name: "half a head on a kept connection", first: true, before: testHead[:20], after: testHead[20:], delay: 7 * time.Second, status: "200 OK", took: 7 * time.Second},
		{name: "half a head without end", before: testHead[:20], status: "408 Request Timeout", took: testGrace},
		{name: "nothing yet", after: testHead, delay: 50 * time.Millisecond, status: "200 OK", took: 50 * time.Millisecond},
		{name: "idle", first: true, after: testHead, delay: 50 * time.Millisecond, status: "200 OK", took: 50 * time.Millisecond},
		{name: "idle, first bytes only", first: true, after: testHead[:20], delay: 50 * time.Millisecond, status: "408 Request Timeout", took: testGrace},
		{name: "nothing for ever", took: 100 * time.Millisecond},
		{name: "idle for ever", first: true, took: 100 * time.Millisecond},
		{name: "served", before: testStart, status: "200 OK", took: testHandler},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rig := newServerRig()
				conn, r := rig.dial(t)
				if tt.first {
					_, err := io.WriteString(conn, testHead)
					is.NoErr(err)
					_, body, closes := readTestResponse(t, r)
					is.Equal(body, "whole")
					is.True(!closes)
				}
				_, err := io.WriteString(conn, tt.before)
				is.NoErr(err)
				synctest.Wait()
				start := time.Now()
				rig.stop()
				time.Sleep(tt.delay)
				if tt.after != "" {
					_, err := io.WriteString(conn, tt.after)
					is.NoErr(err)
				}
				status, body, closes := readTestResponse(t, r)
				is.Equal(status, tt.status)
				is.Equal(body == "whole", strings.HasPrefix(status, "200"))
				is.True(closes)
				is.Equal(time.Since(start), tt.took)
				conn.Close()
				is.NoErr(<-rig.stopped)
			})
		})
	}
}

// A response whose request began before the stop must ask for the connection to be closed,
// if its header is written later: the next request on the connection would not be read.
func TestStoppingServerAsksToClose(t *testing.T) {
	for _, tt := range []struct {
		name, request, body string
		closes              bool
	}{
		{"header written later", testStart, "whole", true},
		{"header written before", testStream, "begun whole", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rig := newServerRig()
				conn, r := rig.dial(t)
				_, err := io.WriteString(conn, tt.request)
				is.NoErr(err)
				synctest.Wait()
				rig.server.AskToClose()
				status, body, closes := readTestResponse(t, r)
				is.Equal(status, "200 OK")
				is.Equal(body, tt.body)
				is.Equal(closes, tt.closes)
				if !closes { // it is a kept connection, and idle
					rig.stop()
				} else {
					_, err = r.Peek(1)
					is.Equal(err, io.EOF)
					rig.stop()
				}
				is.NoErr(<-rig.stopped)
			})
		})
	}
}

// What is still served when the time to stop is over is aborted, and Shutdown says so.
func TestStoppingServerAbortsAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rig := newServerRig()
		ctx, cancel := context.WithTimeout(context.Background(), testHandler/2)
		defer cancel()
		conn, r := rig.dial(t)
		_, err := io.WriteString(conn, testStart)
		is.NoErr(err)
		synctest.Wait()
		start := time.Now()
		is.Equal(rig.server.Shutdown(ctx), context.DeadlineExceeded)
		is.True(time.Since(start) < testHandler)
		status, _, _ := readTestResponse(t, r)
		is.Equal(status, "")
		time.Sleep(testHandler) // the handler ends
	})
}
