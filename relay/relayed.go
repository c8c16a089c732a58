package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/vanilladrift/vanilladrift/transport"
)

// Headers between nodes.
const (
	// relayedByHeader names the node that relays a request to another.
	relayedByHeader = "Vanilladrift-Relayed-By"
	// relayRefusedHeader tells that a node refuses a relayed request for a reason of its own, so
	// that another node may serve it. Its values are below.
	relayRefusedHeader = "Vanilladrift-Relay-Refused"

	refusedUnreachable = "unreachable" // no server of the pool can be reached from there
	refusedNotNow      = "not-now"
)

// maxRelays bounds the nodes that a request is relayed to in turn.
const maxRelays = 3

// NodeRequest is a request that is relayed to another node.
type NodeRequest struct {
	Incoming      *http.Request
	Node          string // the node that relays it
	Address       string // of the other node
	Body          io.Reader
	ContentLength int           // of Body
	TimeLeft      time.Duration // until the request's deadline
}

// Relays hands requests over to other nodes while this node reaches no server of their pool, or has no place
// at any of them. The
// other node serves them as its own, and decides all about them.
type Relays struct {
	// Node is the name of this node.
	Node string
	// IsCutOff reports whether this node reaches no server of a pool.
	IsCutOff func(pool string) bool
	// HasPlace, which is optional, reports whether this node may send requests to a server of a pool.
	HasPlace func(pool string) bool
	// Next returns the address of a node that may serve requests of a pool, other than those in tried.
	Next func(pool string, tried map[string]bool) (address string, ok bool)
	// Refused is called when the node at an address reaches no server of a pool either, or, if
	// isUnreachable is not set, cannot serve requests for now.
	Refused func(pool, address string, isUnreachable bool)
	// NewRequest builds the request to another node.
	NewRequest func(ctx context.Context, r NodeRequest) *http.Request
	// Transport sends requests to other nodes.
	Transport http.RoundTripper
}

// SetRelayedBy names the node that relays a request in its headers.
func SetRelayedBy(h http.Header, node string) { h.Set(relayedByHeader, node) }

// RelayedHandler returns the handler for requests that other nodes relay, which passes all others on to
// next. Callers must not reach it.
func (h *Handler) RelayedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		node := r.Header.Get(relayedByHeader)
		if node == "" {
			next.ServeHTTP(w, r)
			return
		}
		h.serve(w, r, node)
	})
}

// mustRelay reports whether no server of the request's pool can be reached from this node, or none is to get
// requests of it.
func (x *exchange) mustRelay() bool {
	r := x.handler.Relays
	if r == nil {
		return false
	}
	x.isUnreached = r.IsCutOff(x.pool.Name)
	x.hasNoPlace = !x.isUnreached && x.pool.Engine == nil && r.HasPlace != nil && !r.HasPlace(x.pool.Name)
	return x.isUnreached || x.hasNoPlace
}

// mayRelay reports whether a request that has not run may be served by another node.
func (x *exchange) mayRelay() bool {
	return x.handler.Relays != nil && x.relayedBy == "" && !x.mayHaveRun && !x.headerWritten
}

// relay has the request served by another node. It returns false if no other node takes it; the request
// has not run then.
func (x *exchange) relay(ctx context.Context) (done bool, err error) {
	tried := make(map[string]bool)
	for range maxRelays {
		address, ok := x.handler.Relays.Next(x.pool.Name, tried)
		if !ok {
			return false, nil
		}
		if x.callerLeft() {
			return true, callerLeftError(nil)
		}
		if ctx.Err() != nil {
			return true, x.contextError(ctx)
		}
		tried[address] = true
		if done, err := x.relayTo(ctx, address); done {
			return true, err
		}
	}
	return false, nil
}

// relayTo has the request served by the node at an address. It returns false if that node does not take
// it.
func (x *exchange) relayTo(ctx context.Context, address string) (done bool, err error) {
	relays := x.handler.Relays
	x.event.RelayedTo = address
	resp, err := relays.Transport.RoundTrip(relays.NewRequest(ctx, NodeRequest{
		Incoming: x.r, Node: relays.Node, Address: address, Body: x.body.Reader(), ContentLength: x.body.Len(), TimeLeft: time.Until(x.deadline),
	}))
	switch {
	case err != nil && x.r.Context().Err() != nil:
		return true, callerLeftError(err)
	case err != nil && transport.IsDialError(err):
		relays.Refused(x.pool.Name, address, false)
		return false, nil
	case err != nil:
		x.mayHaveRun = true
		if ctx.Err() != nil {
			return true, x.contextError(ctx)
		}
		return true, &Error{Op: "relay", Kind: ServerFailed, Reason: "the node that it was relayed to did not answer", Err: err}
	}
	defer resp.Body.Close()
	if reason := resp.Header.Get(relayRefusedHeader); reason != "" {
		discardBody(resp.Body)
		relays.Refused(x.pool.Name, address, reason == refusedUnreachable)
		return false, nil
	}
	x.mayHaveRun = true
	head := ResponseHead{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return true, x.relayEvents(head, resp.Body)
	}
	content, err := x.readResponse(resp.Body)
	switch {
	case isKind(err, ResponseOverBudget):
		return true, err
	case err != nil:
		return true, &Error{Op: "relay", Kind: ServerFailed, Reason: "the answer of the node that it was relayed to broke off", Err: err}
	}
	x.writeResponse(head, content)
	if len(content) <= maxBufferedResponse || x.event.Kind != "" {
		return true, nil
	}
	return true, x.relayRest(resp.Body).err
}

// relayEvents forwards a stream of another node as it comes. That node has checked its events.
func (x *exchange) relayEvents(head ResponseHead, body io.Reader) error {
	x.event.TimeToFirstByte = time.Since(x.start)
	x.writeHeader(head)
	c := http.NewResponseController(x.w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := x.w.Write(buf[:n]); err != nil {
				return callerLeftError(err)
			}
			if err := c.Flush(); err != nil {
				return callerLeftError(err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &Error{Op: "relay", Kind: StreamInterrupted, Reason: "the stream of the node that it was relayed to broke off", Err: err}
		}
	}
}

// refuseRelayed returns an error of this node such that the node that relayed the request asks another. Other
// errors, and those of requests that came from callers, stay as they are.
func (x *exchange) refuseRelayed(e *Error) {
	if x.relayedBy == "" || x.mayHaveRun || x.headerWritten {
		return
	}
	switch {
	case x.isUnreached:
		x.w.Header().Set(relayRefusedHeader, refusedUnreachable)
	case e.Kind == NotReady || x.isOverloaded || x.hasNoPlace || e.Kind == OutOfMemoryBudget:
		x.w.Header().Set(relayRefusedHeader, refusedNotNow)
	}
}
