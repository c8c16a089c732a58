package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	// notReadyRetry is when to come back to a node without a configuration; by
	// then the balancer has seen it.
	notReadyRetry = time.Second
	// busyRetry is when to come back when plain servers shed a request: about
	// the time in which one of their places becomes free.
	busyRetry = 100 * time.Millisecond
	// maxBodyBytes bounds a body where the configuration sets no limit.
	maxBodyBytes = 4 << 20
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
)

// Handler serves callers. Set the fields before the first use; those that say so
// may be left alone.
type Handler struct {
	// Table returns the configuration in force, or nil before the first.
	Table func() *route.Table
	// Servers returns the backend servers, or nil before the first reading.
	Servers func() *backend.View
	// RequiredVersion returns the newest version of an adapter that must be used, or 0
	// when any will do.
	RequiredVersion func(model, adapter string) int64
	// DecodeRequest reads the head of a request.
	DecodeRequest func(h http.Header) (RequestHead, error)
	// NewServerRequest builds the request to a server.
	NewServerRequest func(ctx context.Context, s ServerRequest) *http.Request
	// DecodeResponse reads the head of a server's answer.
	DecodeResponse func(resp *http.Response) ResponseHead
	// RequestIDHeader is the header that names a request.
	RequestIDHeader string
	// Transport returns the connections to the servers of a pool.
	Transport func(pool route.Pool) http.RoundTripper
	// Acquire finds an engine for a request among the given ones. It blocks
	// while the request waits, and fails with a [caller.Refusal].
	Acquire func(ctx context.Context, names []string, w engine.Work) (caller.Grant, error)
	// Release gives a grant back. It does not block.
	Release func(g caller.Grant, missing bool, tokenTime time.Duration)
	// RetryBudget returns the budget for sending again to a pool.
	RetryBudget func(pool string) *backend.RetryBudget
	// Balancer chooses servers of plain pools.
	Balancer *backend.Balancer
	// ShuttingDown, if set, reports whether the node is shutting down, so that
	// callers are told to open their next connection elsewhere.
	ShuttingDown func() bool
	// Observe, if set, is told how each request ended.
	Observe func(Event)

	active caller.Inflight
	once   sync.Once
}

// Close returns a channel that is closed when no request is in flight any
// more. Requests that come in later are refused.
func (f *Handler) Close() <-chan struct{} { return f.active.Close() }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, w: w, r: r, start: time.Now()}
	w.Header().Set(f.RequestIDHeader, r.Header.Get(f.RequestIDHeader))
	if f.ShuttingDown != nil && f.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	var err error
	if f.active.TryAdd() {
		defer f.active.Done()
		err = x.serve(r.Context())
	} else {
		err = &Error{Op: "serve", Kind: NotReady, Reason: "the node is shutting down", RetryAfter: notReadyRetry}
	}
	x.end(err)
}

// exchange is one request on its way.
type exchange struct {
	front *Handler
	w     http.ResponseWriter
	r     *http.Request
	start time.Time

	head     RequestHead
	table    *route.Table
	route    *route.Route
	pool     route.Pool
	body     []byte
	deadline time.Time

	begun    bool   // bytes of the answer have gone to the caller
	maybeRan bool   // some server may have begun it
	after    string // the last event that the caller has
	ev       Event
}

func (x *exchange) serve(ctx context.Context) error {
	const op = "serve"
	x.table = x.front.Table()
	if x.table == nil || x.front.Servers() == nil {
		return &Error{Op: op, Kind: NotReady, Reason: "the node has not read its configuration yet", RetryAfter: notReadyRetry}
	}
	var err error
	if x.head, err = x.front.DecodeRequest(x.r.Header); err != nil {
		return &Error{Op: op, Kind: BadRequest, Reason: err.Error()}
	}
	var ok bool
	if x.route, ok = x.table.Match(x.r.Host, x.r.URL.Path); !ok {
		return &Error{Op: op, Kind: NoRoute, Reason: "no route begins this path"}
	}
	if x.pool, ok = x.table.Pool(x.route.PoolFor(x.head.ID)); !ok {
		return &Error{Op: op, Kind: NoServer, Reason: "the route leads to no pool", RetryAfter: notReadyRetry}
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.deadline = x.start.Add(x.route.Timeout)
	if x.head.Timeout > 0 && x.head.Timeout < x.route.Timeout {
		x.deadline = x.start.Add(x.head.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.front.RetryBudget(x.pool.Name).CountRequest(x.start)
	if x.pool.Engine == nil {
		return x.servePlain(ctx)
	}
	return x.serveEngine(ctx)
}

func (x *exchange) readBody() error {
	const op = "read"
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, int64(limit)+1))
	if err != nil {
		return &Error{Op: op, Kind: BadRequest, Reason: "the body was cut short", Err: err}
	}
	if len(body) > limit {
		return &Error{Op: op, Kind: BodyTooLarge, Reason: "the body is over the limit"}
	}
	x.body = body
	return nil
}

// send passes the request on once. The answer's body must be closed.
func (x *exchange) send(ctx context.Context, s ServerRequest) (*http.Response, ResponseHead, error) {
	s.Incoming, s.Body, s.ContentLength = x.r, bytes.NewReader(x.body), len(x.body)
	s.TimeLeft = time.Until(x.deadline)
	x.ev.Server = s.Server.ID
	x.ev.Attempts++
	resp, err := x.front.Transport(x.pool).RoundTrip(x.front.NewServerRequest(ctx, s))
	if err != nil {
		return nil, ResponseHead{}, err
	}
	a := x.front.DecodeResponse(resp)
	if !a.NotRun && (a.RequestID != x.head.ID || a.Status < 300 && !a.Signed) {
		// A late answer to another request, or bytes that no server signed.
		resp.Body.Close()
		return nil, a, errors.Errorf("the answer is to request %q", a.RequestID)
	}
	return resp, a, nil
}

// sendFor sends the request and sorts out what needs no body: an attempt
// without an answer, and a refusal of the server. The result is nil when the
// answer's body is to be read and closed.
func (x *exchange) sendFor(ctx context.Context, s ServerRequest) (*http.Response, ResponseHead, *result) {
	resp, a, err := x.send(ctx, s)
	switch {
	case err != nil && transport.IsDialError(err):
		return nil, a, &result{failed: true, notRun: true, reason: err.Error()}
	case err != nil:
		x.maybeRan = true
		return nil, a, &result{failed: true, reason: err.Error()}
	case a.NotRun:
		drain(resp.Body)
		resp.Body.Close()
		return nil, a, &result{failed: !a.Misdirected, notRun: true, reason: "the server refused it", answer: a}
	}
	x.maybeRan = true
	return resp, a, nil
}

// readAnswer reads a whole answer and passes it on, unless the server failed the
// request or broke off.
func (x *exchange) readAnswer(a ResponseHead, body io.Reader) result {
	raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return result{failed: true, reason: err.Error()}
	}
	if a.Status >= http.StatusInternalServerError {
		return result{failed: true, reason: "the server failed it", answer: a, body: raw}
	}
	if x.begun {
		return result{final: true, err: &Error{Op: "resume", Kind: StreamCut, Reason: "the server does not resume it"}}
	}
	x.answer(a, raw)
	return result{final: true}
}

// mayRepeat reports whether the request may be sent once more, and pays for it.
func (x *exchange) mayRepeat() bool {
	return time.Until(x.deadline) > 0 && x.front.RetryBudget(x.pool.Name).TrySpend(time.Now())
}

// again records an attempt that failed before the request goes on.
func (x *exchange) again(kind ErrorKind, status int, reason string) {
	ev := x.ev
	ev.Kind, ev.Status, ev.Reason = kind, status, reason
	x.observe(ev)
}

// answer writes a whole answer of a server to the caller.
func (x *exchange) answer(a ResponseHead, body []byte) {
	x.ev.TimeToFirstByte = time.Since(x.start)
	x.begin(a)
	if _, err := x.w.Write(body); err != nil {
		x.ev.Kind, x.ev.Reason = CallerGone, err.Error()
	}
}

// begin writes the head of a server's answer to the caller.
func (x *exchange) begin(a ResponseHead) {
	maps.Copy(x.w.Header(), a.Header)
	x.ev.Status = a.Status
	x.begun = true
	x.w.WriteHeader(a.Status)
}

// expired returns the final answer for a request whose time ran out, or whose
// caller has left.
func (x *exchange) expired(ctx context.Context) error {
	const op = "serve"
	switch {
	case x.r.Context().Err() != nil:
		return &Error{Op: op, Kind: CallerGone, Reason: "the caller closed its connection", Err: ctx.Err()}
	case x.maybeRan:
		return &Error{Op: op, Kind: TimedOut, Reason: "no answer came in time"}
	}
	return &Error{Op: op, Kind: ExpiredUnsent, Reason: "no server could take it in time", RetryAfter: busyRetry}
}

// end writes the final answer if err is not nil, and reports the request.
func (x *exchange) end(err error) {
	x.ev.Final = true
	if err != nil {
		var e *Error
		if !errors.As(err, &e) {
			e = &Error{Op: "serve", Kind: ServerFailed, Reason: err.Error()}
		}
		x.ev.Kind, x.ev.Reason, x.ev.RetryAfter = e.Kind, e.Error(), e.RetryAfter
		if !x.begun && e.Kind != CallerGone {
			x.ev.Status = e.Status()
			writeError(x.w, e)
		}
	}
	x.observe(x.ev)
	if err != nil && (x.begun || x.ev.Kind == CallerGone) {
		panic(http.ErrAbortHandler) // an answer that was cut must look cut
	}
}

func (x *exchange) observe(ev Event) {
	if x.front.Observe == nil {
		return
	}
	ev.ID, ev.Pool, ev.Adapter, ev.Elapsed = x.head.ID, x.pool.Name, x.head.AdapterName(), time.Since(x.start)
	if ev.ID == "" {
		ev.ID = x.r.Header.Get(x.front.RequestIDHeader)
	}
	if x.route != nil {
		ev.Route = x.route.Name
	}
	if x.table != nil {
		ev.ConfigVersion = x.table.Version()
	}
	if !x.deadline.IsZero() {
		ev.TimeLeft = time.Until(x.deadline)
	}
	x.front.Observe(ev)
}

type errorAnswer struct {
	Type    ErrorKind `json:"type"`
	Message string    `json:"message"`
	NotRun  bool      `json:"not-run"`
	RetryMs int64     `json:"retry-after-ms,omitempty"`
}

func writeError(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", e.retryAfter())
	}
	w.WriteHeader(e.Status())
	body := errorAnswer{Type: e.Kind, Message: e.Reason, NotRun: e.NotRun(), RetryMs: e.RetryAfter.Milliseconds()}
	_ = json.NewEncoder(w).Encode(body) // the caller has gone away
}
