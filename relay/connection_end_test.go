package relay_test

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
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/route"
)

// ending is how a server ends the connection of a response.
type ending int

const (
	closes ending = iota
	resets
)

// resetDelay lets the bytes before a reset arrive, which it may otherwise discard.
const resetDelay = 30 * time.Millisecond

// rawResponse is a response that has neither a length nor chunks.
type rawResponse struct {
	proto  string // the status line's; default HTTP/1.1
	header string // further header lines
	body   string
	end    ending
}

// rawServers answers the requests to the servers "s-1" and "s-2", which listen at the same
// address, with one response after another.
type rawServers struct {
	ln net.Listener

	prompts backend.PromptQuarantine

	mu        sync.Mutex
	responses []rawResponse
	requests  []*http.Request
}

func (s *rawServers) run() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *rawServers) serve(c *net.TCPConn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil { // unread bytes would turn the close into a reset
		return
	}
	s.mu.Lock()
	s.requests = append(s.requests, req)
	if len(s.responses) == 0 {
		s.mu.Unlock()
		return
	}
	resp := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	h := make(http.Header)
	platform.SetSignatureHeaders(h, req.Header.Get(platform.RequestIDHeader), "signature")
	var b bytes.Buffer
	if resp.proto == "" {
		resp.proto = "HTTP/1.1"
	}
	fmt.Fprintf(&b, "%s 200 OK\r\n%s", resp.proto, resp.header)
	_ = h.Write(&b)
	b.WriteString("\r\n" + resp.body)
	_, _ = c.Write(b.Bytes()) // fails only if the node has closed the connection
	if resp.end == resets {
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
	}
}

// serveRaw sends a caller's request through a handler to servers that give these
// responses. It returns the status, what arrived of the body, and whether the response
// looks complete to the caller.
func serveRaw(t *testing.T, r route.Route, pool route.Pool, responses ...rawResponse) (servers *rawServers, status int, body string, complete bool) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { ln.Close() })
	servers = &rawServers{ln: ln, responses: responses}
	go servers.run()
	r.Host, r.Prefix, r.TrafficSplit, r.Timeout = "a.example", "/p/", []route.WeightedPool{{Pool: pool.Name, Weight: 1}}, 5*time.Second
	table := route.NewTable(1, []route.Route{r}, []route.Pool{pool}, route.Limits{})
	var reg backend.Registry
	reg.Replace(time.Time{}, []backend.Server{{ID: "s-1", Pool: pool.Name, Address: ln.Addr().String()}, {ID: "s-2", Pool: pool.Name, Address: ln.Addr().String()}})
	budget := &backend.RetryBudget{Slack: 10, Window: time.Minute}
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	h := &relay.Handler{
		Table: func() *route.Table { return table }, Servers: reg.View, RequiredVersion: func(string, string) int64 { return 0 },
		DecodeRequest: platform.DecodeRequestHead, NewServerRequest: platform.NewReplicaRequest, DecodeResponse: platform.DecodeResponseHead, RequestIDHeader: platform.RequestIDHeader,
		Transport: func(route.Pool) http.RoundTripper { return transport },
		Acquire: func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
			return caller.Grant{Engine: names[0], ID: w.ID}, nil
		},
		Release: func(caller.Grant, bool, time.Duration) {}, RetryBudget: func(string) *backend.RetryBudget { return budget }, Balancer: &backend.Balancer{},
		Prompts: &servers.prompts,
	}
	front := httptest.NewServer(h)
	t.Cleanup(front.Close)
	req, err := http.NewRequest(http.MethodPost, front.URL+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "a.example"
	platform.EncodeRequestHead(req.Header, relay.RequestHead{ID: "r1", Timeout: 5 * time.Second, Model: "m", Adapter: "a", MaxTokens: 10, PromptParts: []string{"part"}})
	resp, err := front.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return servers, resp.StatusCode, string(content), err == nil
}

// Guards against responses that were broken off and look complete, and against sound ones
// that are taken for broken, where only the end of the connection ends them. A closed
// connection ends such a response; after a reset it is incomplete, and what the caller has
// got of it must not look complete either.
func TestPlainResponseEndsWithConnection(t *testing.T) {
	const buffer = 64 << 10
	for _, proto := range []rawResponse{{}, {header: "Connection: close\r\n"}, {proto: "HTTP/1.0"}, {proto: "HTTP/1.0", header: "Connection: keep-alive\r\n"}} {
		for _, size := range []int{0, 20, buffer - 1, buffer, buffer + 1, 5 * buffer} {
			for _, end := range []ending{closes, resets} {
				resp := proto
				resp.body, resp.end = strings.Repeat("x", size), end
				t.Run(fmt.Sprint(proto.proto, proto.header, size, end), func(t *testing.T) {
					is := is.New(t)
					_, status, body, complete := serveRaw(t, route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, route.Pool{Name: "plain"}, resp)
					switch {
					case end == closes:
						is.Equal(status, 200)
						is.True(complete)
						is.Equal(len(body), size)
					case size <= buffer: // nothing was sent to the caller yet
						is.Equal(status, 502)
						is.True(complete)
						is.True(!strings.Contains(body, "xx"))
					default:
						is.Equal(status, 200)
						is.True(!complete)
					}
				})
			}
		}
	}
}

// A response that was reset is retried if the route allows it.
func TestResetResponseIsRetried(t *testing.T) {
	is := is.New(t)
	servers, status, body, complete := serveRaw(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, route.Pool{Name: "plain"},
		rawResponse{body: "who", end: resets}, rawResponse{body: "whole"})
	is.Equal(status, 200)
	is.Equal(body, "whole")
	is.True(complete)
	is.Equal(len(servers.requests), 2)
}

// A declared length binds: a response that ends before it is incomplete also if its
// connection is closed.
func TestShortResponseIsIncomplete(t *testing.T) {
	is := is.New(t)
	_, status, _, _ := serveRaw(t, route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, route.Pool{Name: "plain"},
		rawResponse{header: "Content-Length: 5\r\n", body: "who"})
	is.Equal(status, 502)
	_, status, _, complete := serveRaw(t, route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, route.Pool{Name: "plain"},
		rawResponse{header: "Content-Length: 500000\r\n", body: strings.Repeat("x", 400000)})
	is.Equal(status, 200)
	is.True(!complete)
}

// Guards against streams that were broken off inside an event and look complete, or whose
// half event reaches the caller, where the end of the connection is the only framing. Lines
// that are no part of an event may follow the last event.
func TestStreamEndsWithConnection(t *testing.T) {
	const whole = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	crlf := strings.ReplaceAll(whole, "\n", "\r\n")
	enginePool := route.Pool{Name: "engines", Engine: &route.Engine{BatchSize: 4, TokensPerEvent: 5}}
	long := "id: 1\ndata: " + strings.Repeat("x", 40<<10) + "\n\nid: 2\ndata: " + strings.Repeat("y", 40<<10) + "\n\n"
	for _, tt := range []struct {
		name   string
		events string // whole events, which reach the caller
		rest   string
		end    ending
		broken bool
	}{
		{"after an event", whole, "", closes, false},
		{"after an event, CR LF", crlf, "", closes, false},
		{"longer than the buffer", long, "", closes, false},
		{"a comment follows", whole, ": end\n", closes, false},
		{"a comment with CR LF follows", crlf, ": end\r\n", closes, false},
		{"comments follow", whole, ":\n: end\n", closes, false},
		{"an empty line follows", whole, "\n", closes, false},
		{"spaces follow", whole, "  \n", closes, false},
		{"after the line of the ID", whole, "id: 3\n", closes, true},
		{"after the line of the ID, CR LF", crlf, "id: 3\r\n", closes, true},
		{"after the data, without the empty line", whole, "id: 3\ndata: z\n", closes, true},
		{"after the data, without the empty line, CR LF", crlf, "id: 3\r\ndata: z\r\n", closes, true},
		{"inside the empty line", crlf, "id: 3\r\ndata: z\r\n\r", closes, true},
		{"inside the end of a line", crlf, "id: 3\r\ndata: z\r", closes, true},
		{"inside a line", whole, "id: 3\nda", closes, true},
		{"inside the first line", whole, "i", closes, true},
		{"inside a comment", whole, ": en", closes, true},
		{"after a comment in an event", whole, ": three\nid: 3\n", closes, true},
		{"comment after a line of an event", whole, "id: 3\n: three\n", closes, true},
		{"longer than the buffer, inside an event", long, "id: 3\n" + strings.Repeat("data: z\n", 1000), closes, true},
		{"reset after an event", whole, "", resets, true},
		{"reset after an event, CR LF", crlf, "", resets, true},
		{"reset after a comment", whole, ": end\n", resets, true},
		{"reset inside an event", whole, "id: 3\n", resets, true},
		{"longer than the buffer, reset", long, "", resets, true},
		{"reset in the first event", "", "id: 1\n", resets, true},
		{"inside the first event", "", "id: 1\ndata: x\n", closes, true},
		{"before the first event", "", "", closes, true},
	} {
		for _, v := range []struct {
			proto string
			pool  route.Pool
		}{{"HTTP/1.1", enginePool}, {"HTTP/1.0", enginePool}, {"HTTP/1.1", route.Pool{Name: "plain"}}} {
			t.Run(v.proto+" "+v.pool.Name+" "+tt.name, func(t *testing.T) {
				is := is.New(t)
				pool := v.pool
				resp := rawResponse{proto: v.proto, header: "Content-Type: text/event-stream\r\n", body: tt.events + tt.rest, end: tt.end}
				_, status, body, complete := serveRaw(t, route.Route{Kind: route.Stream, MaxAttempts: 2}, pool, resp)
				switch {
				case tt.broken && tt.events == "":
					is.Equal(status, 502)
				case tt.broken:
					is.True(!complete)
					is.Equal(body, tt.events)
				default:
					is.True(complete)
					is.Equal(body, tt.events+tt.rest)
				}

				// Resumed on the other server, the stream ends whole.
				const last = "id: 3\ndata: z\n\n"
				servers, status, body, complete := serveRaw(t, route.Route{Kind: route.Stream, MaxAttempts: 2, Resumable: true}, pool,
					resp, rawResponse{header: resp.header, body: last})
				is.Equal(status, 200)
				is.True(complete)
				if !tt.broken {
					is.Equal(len(servers.requests), 1)
					return
				}
				is.Equal(body, tt.events+last)
				is.Equal(len(servers.requests), 2)
				resumed, err := platform.DecodeRequestHead(servers.requests[1].Header)
				is.NoErr(err)
				is.Equal(resumed.LastEventID != "", tt.events != "")
			})
		}
	}
}

// Guards against a stream joined from two runs where the route does not allow to resume it,
// although it allows to repeat the request.
func TestBrokenStreamOfIdempotentRoute(t *testing.T) {
	const header, whole = "Content-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n"
	is := is.New(t)
	r := route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	servers, status, body, complete := serveRaw(t, r, route.Pool{Name: "plain"}, rawResponse{header: header, body: whole + "id: 2\n"}, rawResponse{header: header, body: whole})
	is.Equal(status, 200)
	is.Equal(body, whole)
	is.True(!complete)
	is.Equal(len(servers.requests), 1)

	servers, _, body, complete = serveRaw(t, r, route.Pool{Name: "plain"}, rawResponse{header: header, body: "id: 1\n"}, rawResponse{header: header, body: whole})
	is.Equal(body, whole) // nothing was sent of the first
	is.True(complete)
	is.Equal(len(servers.requests), 2)
}

// Guards against crashes that look like a whole response without content, as only the end of the
// connection ends it: the engine crashed between the header and the first byte or event.
func TestCrashAfterHeaderWithoutLengthIsObserved(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for _, tt := range []struct {
		name    string
		resp    rawResponse
		crashed bool
	}{
		{"plain, without content", rawResponse{}, true},
		{"plain, HTTP/1.0, without content", rawResponse{proto: "HTTP/1.0"}, true},
		{"plain, of no length", rawResponse{header: "Content-Length: 0\r\n"}, false},
		{"plain, of no chunks", rawResponse{header: "Transfer-Encoding: chunked\r\n", body: "0\r\n\r\n"}, false},
		{"plain, reset", rawResponse{body: "{", end: resets}, true},
		{"plain, with content", rawResponse{body: "whole"}, false},
		{"stream, without content", rawResponse{header: stream}, true},
		{"stream, after a comment", rawResponse{header: stream, body: ": begin\n"}, true},
		{"stream, in the first event", rawResponse{header: stream, body: "id: 1\n"}, true},
		{"stream, of no chunks", rawResponse{header: stream + "Transfer-Encoding: chunked\r\n", body: "0\r\n\r\n"}, false},
		{"stream, with an event", rawResponse{header: stream, body: "id: 1\ndata: x\n\n"}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			enginePool := route.Pool{Name: "engines", Engine: &route.Engine{BatchSize: 4, TokensPerEvent: 5}}
			servers, _, _, _ := serveRaw(t, route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool, tt.resp)
			is.New(t).Equal(len(servers.prompts.TakeEvents().Crashes) == 1, tt.crashed)
		})
	}
}
