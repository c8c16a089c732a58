package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/memory"
	"github.com/vanilladrift/vanilladrift/route"
)

// What a request and its response make the node hold is not bounded, or is not given back. The load: one
// request while the budget is used up but for a part.
func TestRequestsWithinTheMemoryBudget(t *testing.T) {
	const budget, bodyLimit = 1 << 20, 4 << 20
	ok := func(bytes int) reply {
		return reply{head: ResponseHead{Status: http.StatusOK, Header: http.Header{}}, body: strings.Repeat("x", bytes)}
	}
	event := ok(0)
	event.head.Stream, event.body = true, "id: 1\ndata: "+strings.Repeat("x", 40<<10)+"\n\n"
	for _, tt := range []struct {
		name      string
		free      int64
		announced int64 // -1 if it is not
		body      int   // bytes that are sent
		reply     reply
		status    int
		kind      ErrorKind
		sent      int // requests that servers got
	}{
		{"fits", requestBytes + 8<<10, 1000, 1000, ok(1000), http.StatusOK, "", 1},
		{"no room", requestBytes - 1, 0, 0, ok(0), http.StatusServiceUnavailable, OutOfMemoryBudget, 0},
		{"announced without room", requestBytes + 8<<10, 9 << 10, 0, ok(0), http.StatusServiceUnavailable, OutOfMemoryBudget, 0},
		{"sent without room", requestBytes + 8<<10, -1, 9 << 10, ok(0), http.StatusServiceUnavailable, OutOfMemoryBudget, 0},
		{"announced over the limit", budget, bodyLimit + 1, 0, ok(0), http.StatusRequestEntityTooLarge, BodyTooLarge, 0},
		{"response without room", requestBytes + 8<<10, 100, 100, ok(9 << 10), http.StatusBadGateway, ResponseOverBudget, 1},
		{"event without room", requestBytes + 8<<10, 100, 100, event, http.StatusBadGateway, ResponseOverBudget, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := memory.NewBudget(budget)
				var others []*memory.Holding // of which none is large
				for left := budget/16*15 - tt.free; left > 0; left -= memory.SmallBytes {
					h := b.Hold(memory.OfCaller)
					is.True(h.Grow(min(left, memory.SmallBytes)))
					others = append(others, h)
				}
				f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 2}, route.Pool{Name: "plain"}, tt.reply)
				table := route.NewTable(1, []route.Route{{Host: "a.example", Prefix: "/p/", Timeout: time.Second, MaxAttempts: 2, TrafficSplit: []route.WeightedPool{{Pool: "plain", Weight: 1}}}},
					[]route.Pool{{Name: "plain"}}, route.Limits{BodyBytes: bodyLimit})
				f.handler.Table, f.handler.Memory = func() *route.Table { return table }, b
				var body io.Reader = strings.NewReader(strings.Repeat("x", tt.body))
				if tt.sent == 0 && tt.body == 0 {
					body = iotest.ErrReader(fmt.Errorf("the body is read"))
				}
				r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", body)
				r.ContentLength = tt.announced
				r.Header.Set("Id", "r1")
				w := httptest.NewRecorder()
				f.handler.ServeHTTP(w, r)
				is.Equal(w.Code, tt.status)
				is.Equal(f.events[len(f.events)-1].Kind, tt.kind)
				is.Equal(w.Header().Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable)
				is.Equal(len(f.servers.requests), tt.sent)
				for _, h := range others {
					h.Release()
				}
				is.Equal(b.Used(), int64(0))
			})
		})
	}
}

// fuzzListener accepts ends of pipes.
type fuzzListener chan net.Conn

func (l fuzzListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l fuzzListener) Close() error   { return nil }
func (l fuzzListener) Addr() net.Addr { return nil }

// sendBytes sends a caller's bytes in pieces to a server with a small budget, and checks that the budget is
// kept, that all of it is given back, and that what is refused as not run reaches no server.
func sendBytes(t *testing.T, data []byte, piece int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const total = 80 << 10
		replies := make([]reply, len(data)+1) // more than requests
		for i := range replies {
			replies[i] = reply{head: ResponseHead{Status: http.StatusOK, Header: http.Header{}}, body: "done"}
		}
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, route.Pool{Name: "plain"}, replies...)
		budget := memory.NewBudget(total)
		f.handler.Memory, f.handler.BodyProgress = budget, func() time.Duration { return time.Second }
		server := caller.NewServer(&http.Server{Handler: f.handler, ErrorLog: nil})
		server.HeadLimits = func() caller.HeadLimits {
			return caller.HeadLimits{Bytes: 1 << 10, Time: time.Second, Idle: time.Second, Memory: budget}
		}
		ln := make(fuzzListener, 1)
		done := make(chan struct{})
		go func() {
			_ = server.Serve(ln) // ends with the listener
			close(done)
		}()
		client, conn := net.Pipe()
		ln <- conn
		go func() {
			for len(data) > 0 {
				n := min(len(data), max(1, piece))
				if _, err := client.Write(data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		_, _ = io.Copy(io.Discard, client) // until the server closes the connection
		client.Close()
		close(ln)
		<-done
		time.Sleep(time.Minute)
		if used := budget.Used(); used != 0 {
			t.Errorf("%d bytes are held after the connection has ended", used)
		}
		attempts := 0
		for _, ev := range f.events {
			attempts += ev.Attempts
			if notRun := (&Error{Kind: ev.Kind}).NotRun(); ev.Attempts > 0 && (notRun || ev.Kind == BodyTooLarge) {
				t.Errorf("a request was refused after it was sent: %v", ev)
			}
		}
		if len(f.servers.requests) != attempts {
			t.Errorf("servers got %d requests instead of %d: %v", len(f.servers.requests), attempts, f.events)
		}
	})
}

// byteSeeds are requests inside and outside the limits.
var byteSeeds = []string{
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody",
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n1\r\no\r\n",
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 99999999\r\n\r\nbody",
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n",
	"GET /p/x HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", 9<<10),
	strings.Repeat("\r\n", 1000) + "GET /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n",
	"POST /p/x HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
}

// Bytes of any kind on a caller's connection make the node hold more than its budget, or keep it.
func FuzzHeadAndBody(f *testing.F) {
	for _, s := range byteSeeds {
		f.Add([]byte(s), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) { sendBytes(t, data, piece) })
}

// As the fuzz test, with changes of its seeds that are the same in each run.
func TestHeadAndBodyWithChangedBytes(t *testing.T) {
	const runs, seed = 400, 3
	rnd := rand.New(rand.NewPCG(seed, seed))
	for range runs {
		var data []byte
		for range 1 + rnd.IntN(3) { // several requests on a connection
			s := byteSeeds[rnd.IntN(len(byteSeeds))]
			data = append(data, s[:len(s)-rnd.IntN(2)*rnd.IntN(len(s))]...)
		}
		for range rnd.IntN(4) {
			i := rnd.IntN(len(data))
			switch rnd.IntN(3) {
			case 0:
				data[i] = byte(rnd.IntN(256))
			case 1:
				data = append(data[:i:i], data[min(len(data), i+1+rnd.IntN(8)):]...)
			default:
				data = append(data[:i:i], append([]byte(strings.Repeat(string(data[i:min(len(data), i+4)]), rnd.IntN(2000))), data[i:]...)...)
			}
			if len(data) == 0 {
				break
			}
		}
		sendBytes(t, data, 1+rnd.IntN(2000))
	}
}
