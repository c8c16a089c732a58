package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
)

// otherNode answers requests that a node relays.
type otherNode struct {
	requests atomic.Int64
	answer   http.HandlerFunc
}

// relayFixture is a node whose only server cannot be connected to, and other nodes.
type relayFixture struct {
	*fixture
	nodes    []*otherNode
	isCutOff bool
	refused  []bool // for each refusal of a node, whether it reaches no server either
}

func newRelayFixture(t *testing.T, r route.Route, nodes ...http.HandlerFunc) *relayFixture {
	f := &relayFixture{fixture: newFixture(r, route.Pool{Name: "p"}, reply{err: errDial}, reply{err: errDial}, reply{err: errDial}, reply{err: errDial})}
	var addresses []string
	for _, answer := range nodes {
		n := &otherNode{answer: answer}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.requests.Add(1)
			n.answer(w, r)
		}))
		t.Cleanup(srv.Close)
		f.nodes, addresses = append(f.nodes, n), append(addresses, srv.Listener.Addr().String())
	}
	f.handler.Relays = &Relays{
		Node: "n", IsCutOff: func(string) bool { return f.isCutOff }, Transport: &http.Transport{},
		Next: func(_ string, tried map[string]bool) (string, bool) {
			for _, a := range addresses {
				if !tried[a] {
					return a, true
				}
			}
			return "", false
		},
		Refused: func(_, _ string, isUnreachable bool) { f.refused = append(f.refused, isUnreachable) },
		NewRequest: func(ctx context.Context, r NodeRequest) *http.Request {
			req, err := http.NewRequestWithContext(ctx, r.Incoming.Method, "http://"+r.Address+r.Incoming.URL.RequestURI(), r.Body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Id", r.Incoming.Header.Get("Id"))
			SetRelayedBy(req.Header, r.Node)
			return req
		},
	}
	return f
}

// send sends a request as a caller, or as a node relays it.
func (f *relayFixture) send(h http.Handler, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", strings.NewReader("body"))
	r.Header = header
	r.Header.Set("Id", "r1")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func (f *relayFixture) sendAsCaller() *httptest.ResponseRecorder {
	return f.send(f.handler, http.Header{})
}

func relayedBy(node string) http.Header {
	h := http.Header{}
	SetRelayedBy(h, node)
	return h
}

func answerWith(status int, header, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

var once = route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}

func TestRequestIsRelayedWhenNothingWasSent(t *testing.T) {
	for _, isCutOff := range []bool{false, true} {
		is := is.New(t)
		f := newRelayFixture(t, once, answerWith(http.StatusOK, "Seal", "s"))
		f.isCutOff = isCutOff
		w := f.sendAsCaller()
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), "body")
		is.Equal(w.Header().Get("Seal"), "s")
		is.Equal(len(f.servers.requests) == 0, isCutOff) // no attempt is wasted on servers that are out of reach
	}
}

// Guards against a request that runs twice, since it is relayed after an attempt that may have run, or
// again after a relay that may have.
func TestRequestThatMayHaveRunIsNotRelayed(t *testing.T) {
	is := is.New(t)
	ok := answerWith(http.StatusOK, "", "")
	f := newRelayFixture(t, once, ok)
	f.servers.replies = []reply{{err: errors.New("connection reset")}}
	is.Equal(f.sendAsCaller().Code, http.StatusBadGateway)
	is.Equal(f.nodes[0].requests.Load(), int64(0))

	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	f = newRelayFixture(t, once, breakOff, ok)
	f.isCutOff = true
	is.Equal(f.sendAsCaller().Code, http.StatusBadGateway) // and no promise
	is.Equal(f.nodes[1].requests.Load(), int64(0))
	is.Equal(len(f.servers.requests), 0)
}

func TestAnotherNodeIsAskedAfterARefusalOfItsOwn(t *testing.T) {
	is := is.New(t)
	f := newRelayFixture(t, once, answerWith(http.StatusServiceUnavailable, relayRefusedHeader, refusedUnreachable),
		answerWith(http.StatusServiceUnavailable, relayRefusedHeader, refusedNotNow), answerWith(http.StatusOK, "", ""))
	f.isCutOff = true
	is.Equal(f.sendAsCaller().Code, http.StatusOK)
	is.Equal(f.refused, []bool{true, false})
}

// Guards against refusals that are asked for at several nodes, and against one whose promise or time to
// come back is lost.
func TestRefusalOfARelayedRequestIsPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout} {
		is := is.New(t)
		f := newRelayFixture(t, once, answerWith(status, "Retry-After", "0.250"), answerWith(http.StatusOK, "", ""))
		f.isCutOff = true
		w := f.sendAsCaller()
		is.Equal(w.Code, status)
		is.Equal(w.Header().Get("Retry-After"), "0.250")
		is.Equal(f.nodes[1].requests.Load(), int64(0))
	}
}

func TestServersAreTriedIfNoNodeTakesARequest(t *testing.T) {
	is := is.New(t)
	refuse := answerWith(http.StatusServiceUnavailable, relayRefusedHeader, refusedUnreachable)
	f := newRelayFixture(t, once, refuse, refuse, refuse, refuse)
	f.isCutOff = true
	f.servers.replies = []reply{{head: ResponseHead{Status: http.StatusOK}, body: "from a server"}}
	w := f.sendAsCaller()
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), "from a server")
	is.Equal(f.nodes[maxRelays].requests.Load(), int64(0))
}

// Guards against requests that go from node to node, and against callers that pass for nodes.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	is := is.New(t)
	f := newRelayFixture(t, once, answerWith(http.StatusOK, "", ""))
	f.isCutOff = true
	relayed := f.handler.RelayedHandler(http.NotFoundHandler())
	w := f.send(relayed, relayedBy("other"))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(relayRefusedHeader), refusedUnreachable)
	is.Equal(f.nodes[0].requests.Load(), int64(0))

	f.isCutOff = false // it finds out by this request
	w = f.send(relayed, relayedBy("other"))
	is.Equal(w.Header().Get(relayRefusedHeader), refusedUnreachable)

	is.Equal(f.send(relayed, http.Header{}).Code, http.StatusNotFound) // belongs to the peer protocol
	w = f.send(f.handler, relayedBy("spoofed"))
	is.Equal(w.Code, http.StatusOK) // relayed as any other
	is.Equal(w.Header().Get(relayRefusedHeader), "")
}

func TestStoppingNodeLeavesRelayedRequestsToOthers(t *testing.T) {
	is := is.New(t)
	f := newRelayFixture(t, once)
	<-f.handler.Close()
	w := f.send(f.handler.RelayedHandler(nil), relayedBy("other"))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(relayRefusedHeader), refusedNotNow)
}

// Guards against a stream that looks complete although the node that it comes from has broken it off, and
// against events that are held back.
func TestRelayedStreamEndsAsItsNodeEndsIt(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	f := newRelayFixture(t, route.Route{Kind: route.Stream, MaxAttempts: 1}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-next
		panic(http.ErrAbortHandler)
	})
	f.isCutOff = true
	srv := httptest.NewServer(f.handler)
	defer srv.Close()
	req, err := http.NewRequest(http.MethodPost, srv.URL+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Id", "r1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	first := make([]byte, len("id: 1\ndata: a\n\n"))
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err) // the event comes while the stream goes on
	close(next)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

// Guards against work that goes on at another node for a caller that has left.
func TestRelayEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	f := newRelayFixture(t, once, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	f.isCutOff = true
	srv := httptest.NewServer(f.handler)
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Id", "r1")
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the other node works on")
	}
}

// Guards against requests whose account is charged by both nodes.
func TestRelayTakesNoQuota(t *testing.T) {
	for _, isCutOff := range []bool{false, true} {
		is := is.New(t)
		f := newRelayFixture(t, once, answerWith(http.StatusOK, "", ""))
		f.isCutOff = isCutOff
		charged := 0
		f.handler.TakeQuota = func(context.Context, *route.Account, float64) (func(), time.Duration, bool) {
			charged++
			return func() { charged-- }, 0, true
		}
		is.Equal(f.sendAsCaller().Code, http.StatusOK)
		is.Equal(charged, 0)
	}
}
