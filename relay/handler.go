package relay

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/memory"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/schedule"
	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	// notReadyRetryAfter is the Retry-After of a node that has no
	// configuration or is shutting down. Within that time the load balancer
	// detects that the node is not ready.
	notReadyRetryAfter = time.Second
	// busyRetryAfter is the Retry-After when the servers of a pool reject a
	// request. It is about the time until a server completes one of its
	// requests and can accept another.
	busyRetryAfter = 100 * time.Millisecond
	// otherNodeRetryAfter is the Retry-After of a node without processor time, or whose configuration
	// may be out of date. The callers' next attempts reach other nodes, so they need not wait for
	// this one to catch up.
	otherNodeRetryAfter = 100 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedResponse is how much of a response is read before any of it is
	// sent to the caller. A server that fails within it can be replaced by another.
	maxBufferedResponse = 64 << 10
	// refusalBodyWait is how long the rest of a refusal is awaited, so that its
	// connection can be reused.
	refusalBodyWait = 20 * time.Millisecond
)

// shuttingDown is the reason of an [Error] of a node that stops.
const shuttingDown = "the node is shutting down"

// Handler serves callers. Set the fields before the first use; only those
// marked optional may be nil.
type Handler struct {
	// Table returns the configuration in force, or nil before it was first
	// read.
	Table func() *route.Table
	// IsTableCurrent, which is optional, reports whether the configuration has all changes that it
	// should have. If it may lack some, a request without a route is not rejected for good.
	IsTableCurrent func() bool
	// IsTableOutdated, which is optional, reports whether the configuration is known to lack changes that
	// must be in force already. Requests are not run by it then.
	IsTableOutdated func() bool
	// TableAge, which is optional, returns the time since when changes of the configuration may have
	// been missed.
	TableAge func() time.Duration
	// Servers returns the backend servers, or nil before they were first read.
	Servers func() *backend.View
	// RequiredVersion returns the version of an adapter that a server must have,
	// or 0 if any will do.
	RequiredVersion func(model, adapter string) int64
	// DecodeRequest parses the headers of a caller's request.
	DecodeRequest func(h http.Header) (RequestHead, error)
	// NewServerRequest builds the request to a server.
	NewServerRequest func(ctx context.Context, s ServerRequest) *http.Request
	// DecodeResponse parses the headers of a server's response.
	DecodeResponse func(resp *http.Response) ResponseHead
	// RecordAsks, which is optional, records what a server asked for in its response to a
	// request that was sent at the given time. Servers must show that one is draining, and
	// the balancer a pause, before the call returns.
	RecordAsks func(s *backend.Server, sent time.Time, a backend.Asks)
	// RequestIDHeader is the name of the header that holds the request ID.
	RequestIDHeader string
	// Transport returns the round tripper for the servers of a pool.
	Transport func(pool route.Pool) http.RoundTripper
	// Acquire acquires a grant for one of the named engines. It blocks while
	// the request is queued, and fails with a [caller.Refusal].
	Acquire func(ctx context.Context, names []string, w engine.Work) (caller.Grant, error)
	// Release returns a grant to the engine's owner. It does not block.
	// tokenTime is the mean time per token, or 0 if it was not measured.
	Release func(g caller.Grant, adapterMissing bool, tokenTime time.Duration)
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *backend.RetryBudget
	// Balancer chooses servers in pools without model engines. Its pauses hold for model
	// engines too.
	Balancer *backend.Balancer
	// IsLimited, which is optional, reports whether a server has a limit on its requests.
	IsLimited func(s *backend.Server) bool
	// TakeTurn, which is optional, reports whether a request may be sent to a server without
	// a model engine now, within its limit. If it may not, the balancer must skip the server
	// for a time. The owner of a model engine keeps to the engine's limit.
	TakeTurn func(ctx context.Context, s *backend.Server) bool
	// Prompts, which is optional, finds prompts that crash engines.
	Prompts *backend.PromptQuarantine
	// OnQuarantine, which is optional, is called when parts of prompts are quarantined.
	OnQuarantine func(parts string)
	// Requests, which is optional, finds requests that crash servers.
	Requests *backend.RequestQuarantine
	// OnRequestQuarantine, which is optional, is called when a request is quarantined.
	OnRequestQuarantine func(f backend.Fingerprint)
	// FindOrigin, which is optional, returns where the stream of an attempt began that a caller takes
	// up. If it is set, streams go on only at the software version that began them; the two
	// functions below are optional.
	FindOrigin func(ctx context.Context, key backend.StreamKey, pool string) (o backend.Origin, ok bool)
	// RecordOrigin records where a stream began, before the caller gets its first event.
	RecordOrigin func(now time.Time, o backend.StreamOrigin)
	// WithdrawStream, which is optional, tells the owner that issued a grant that the stream began at another
	// software version. It does not block.
	WithdrawStream func(g caller.Grant)
	// MayBegin reports whether streams may begin at the software version of a server.
	MayBegin func(s *backend.Server) bool
	// CallerLeft, which is optional, reports whether the caller of a request has closed its
	// connection, given the context of the caller's request. It is called before each send:
	// the context ends only once the HTTP server has read the end of the connection, which
	// it begins to do when it starts the handler.
	CallerLeft func(ctx context.Context) bool
	// IsOverloaded, which is optional, reports whether the node has too little processor time for
	// a new request.
	IsOverloaded func(now time.Time, r schedule.GateRequest) bool
	// AdmitPlain, which is optional, reports whether a request may be sent to a pool of plain servers;
	// ObservePlain, which is set with it, records each attempt there. isShort is set if the server
	// refused it or served it too late.
	AdmitPlain   func(now time.Time, pool string, r schedule.GateRequest) bool
	ObservePlain func(now time.Time, pool string, isShort bool)
	// TakeQuota, which is optional, takes the cost of a request from the quota of its client account.
	// giveBack returns it if the request has not run. If the quota is used up, ok is false, and
	// retryAfter is the time until enough is available.
	TakeQuota func(ctx context.Context, a *route.Account, cost float64) (giveBack func(), retryAfter time.Duration, ok bool)
	// Memory, which is optional, is the budget of what requests and their responses hold.
	Memory *memory.Budget
	// BodyProgress, which is optional, returns the time within which some of a body must arrive.
	BodyProgress func() time.Duration
	// Relays, which is optional, hands requests over to other nodes.
	Relays *Relays
	// Observe, which is optional, is called for each finished request and each
	// failed attempt that is followed by another.
	Observe func(Event)

	active caller.Inflight
}

// Close rejects new requests. The returned channel is closed when no request
// is in flight.
func (h *Handler) Close() <-chan struct{} { return h.active.Close() }

// End rejects new requests and ends those in flight. Each gets a response that tells
// whether it may have run, unless its response has begun.
func (h *Handler) End() { h.active.End() }

// ServeHTTP implements http.Handler, for callers.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(w, r, "") }

// serve serves a request that came from a caller, or from the node relayedBy.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, relayedBy string) {
	r.Header.Del(relayedByHeader)
	x := &exchange{handler: h, w: w, r: r, relayedBy: relayedBy, start: time.Now(), holding: h.Memory.Hold(memory.OfCaller)}
	x.body.Holding = x.holding
	defer x.holding.Release()
	w.Header().Set(h.RequestIDHeader, r.Header.Get(h.RequestIDHeader))
	var err error
	if h.active.TryAdd() {
		defer h.active.Done()
		err = x.serve(r.Context())
	} else {
		err = &Error{Op: "serve", Kind: NotReady, Reason: shuttingDown, RetryAfter: notReadyRetryAfter}
	}
	if err != nil && !x.bodyRead {
		// net/http reads the rest of the body before it writes a response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalBodyWait)) // fails without a connection
	}
	x.finish(err)
}

// exchange is one request in progress.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time

	relayedBy    string // the node that the request came from; empty if it came from a caller
	isOverloaded bool   // it was refused as the node has too little processor time
	isUnreached  bool   // the last server that it was to be sent to cannot be reached from this node
	hasNoPlace   bool   // this node has no place at the servers, which are brittle

	placeDeadline time.Time // until when a place at a brittle server is awaited; zero before it is

	head     RequestHead
	fp       *backend.Fingerprint // see fingerprint; nil until it is asked for
	table    *route.Table
	route    *route.Route
	account  *route.Account // nil if the request needs none
	accounts *route.Table   // by which the account was last looked at
	pool     route.Pool
	body     memory.Buffer
	holding  *memory.Holding // of the body and what is read of the response
	deadline time.Time

	bodyRead       bool            // the body was read to its end
	headerWritten  bool            // the response header has been sent to the caller
	mayHaveRun     bool            // a server may have started the request
	lastEventID    string          // ID of the last event with content sent to the caller
	lastEventAt    time.Time       // when that event was sent
	responseBegan  bool            // the last attempt had an event, or the first bytes of another success
	attemptEvents  int             // events with content that the last attempt received
	origin         *backend.Origin // of the stream; nil until an event was sent to the caller
	granted        grantedStreams
	originRecorded bool
	trial          bool            // a quarantine is tested by this request, which is sent once only
	grants         int             // number of grants that were asked for
	sentTo         map[string]bool // addresses of the servers that attempts were sent to
	event          Event
}

func (x *exchange) serve(ctx context.Context) error {
	const op = "serve"
	x.table = x.handler.Table()
	if x.table == nil || x.handler.Servers() == nil {
		return &Error{Op: op, Kind: NotReady, Reason: "the node has not read its configuration yet", RetryAfter: notReadyRetryAfter}
	}
	var err error
	if x.head, err = x.handler.DecodeRequest(x.r.Header); err != nil {
		return &Error{Op: op, Kind: BadRequest, Reason: err.Error()}
	}
	if x.handler.IsTableOutdated != nil && x.handler.IsTableOutdated() {
		return &Error{Op: op, Kind: NotReady, Reason: "the configuration that the node knows has been replaced", RetryAfter: otherNodeRetryAfter}
	}
	var ok bool
	if x.route, ok = x.table.Match(x.r.Host, x.r.URL.Path); !ok {
		if x.handler.IsTableCurrent != nil && !x.handler.IsTableCurrent() {
			return &Error{Op: op, Kind: NotReady, Reason: "no route that the node knows begins this path, and its configuration may be out of date", RetryAfter: otherNodeRetryAfter}
		}
		return &Error{Op: op, Kind: NoRoute, Reason: "no route begins this path"}
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	if x.handler.IsOverloaded != nil && x.handler.IsOverloaded(x.start, x.gateRequest()) {
		x.isOverloaded = true
		return &Error{Op: op, Kind: Busy, Reason: "the node has too little processor time", RetryAfter: otherNodeRetryAfter}
	}
	attempt := x.head.ID
	if x.isTakeUp() && x.head.Resumes != "" {
		attempt = x.head.Resumes // its pool began the stream
	}
	if x.pool, ok = x.table.Pool(x.route.PoolFor(attempt)); !ok {
		return &Error{Op: op, Kind: NoServer, Reason: "the route leads to no pool", RetryAfter: notReadyRetryAfter}
	}
	x.deadline = x.start.Add(x.route.Timeout)
	if x.head.Timeout > 0 && x.head.Timeout < x.route.Timeout {
		x.deadline = x.start.Add(x.head.Timeout)
	}
	mustRelay := x.mustRelay()
	if mustRelay {
		if x.relayedBy != "" {
			return &Error{Op: op, Kind: NoServer, Reason: "no server of the pool can get it from this node", RetryAfter: otherNodeRetryAfter}
		}
		if done, err := x.relayUnread(ctx); done {
			return err
		}
	}
	err = x.serveHere(ctx)
	if err != nil && !mustRelay && x.isUnreached && x.mayRelay() {
		if done, err := x.relayUnread(ctx); done {
			return err
		}
	}
	return err
}

// relayUnread is like relay for a request whose body may not have been read yet.
func (x *exchange) relayUnread(ctx context.Context) (done bool, err error) {
	if err := x.readBody(); err != nil {
		return true, err
	}
	ctx, cancel := x.withDeadline(ctx)
	defer cancel()
	return x.relay(ctx)
}

// withDeadline returns the context of the work on the request.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	stop := context.AfterFunc(x.handler.active.Ending(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// serveHere serves the request by a server that this node reaches.
func (x *exchange) serveHere(ctx context.Context) error {
	giveBack, err := x.takeQuota(ctx)
	if err != nil {
		return err
	}
	defer func() {
		if !x.mayHaveRun {
			giveBack()
		}
	}()
	if err := x.readBody(); err != nil {
		return err
	}
	ctx, cancel := x.withDeadline(ctx)
	defer cancel()
	x.handler.RetryBudget(x.pool.Name).CountRequest(x.start)
	if err := x.admit(); err != nil {
		return err
	}
	if err := x.takeUp(ctx); err != nil {
		return err
	}
	if x.pool.Engine == nil {
		return x.servePlain(ctx)
	}
	return x.serveEngine(ctx)
}

// requestBytes is what a request holds beside its head and body: the connection to the server, and the
// buffers and the state of the exchange.
const requestBytes = 32 << 10

// readBody reads the body, unless that was done before.
func (x *exchange) readBody() error {
	const op = "read"
	if x.bodyRead {
		return nil
	}
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > int64(limit) {
		return &Error{Op: op, Kind: BodyTooLarge, Reason: "the body is announced to be over the limit"}
	}
	if !x.holding.Grow(requestBytes) || !x.holding.Fits(max(0, x.r.ContentLength)) {
		return x.memoryError(op)
	}
	c := http.NewResponseController(x.w)
	canTimeOut := c.SetReadDeadline(x.deadline) == nil // not in tests without a connection
	keepReading := x.handler.active.EndReads(x.w)
	body := &bodyReader{r: x.r.Body, end: x.deadline, ending: x.handler.active.Ending()}
	if x.handler.BodyProgress != nil && canTimeOut {
		body.progress, body.setDeadline = x.handler.BodyProgress(), c.SetReadDeadline
	}
	err := x.body.Fill(body, x.r.ContentLength, limit)
	switch {
	case !keepReading():
		return &Error{Op: op, Kind: NotReady, Reason: shuttingDown, RetryAfter: notReadyRetryAfter, Err: err}
	case memory.IsKind(err, memory.TooLarge):
		return &Error{Op: op, Kind: BodyTooLarge, Reason: "the body is over the limit"}
	case memory.IsKind(err, memory.OverBudget):
		return x.memoryError(op)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Until(x.deadline) > 0:
		return &Error{Op: op, Kind: BodyTimedOut, Reason: "nothing of the body came within " + body.progress.String(), Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Error{Op: op, Kind: BodyTimedOut, Reason: "the body did not end before the deadline", Err: err}
	}
	if err == nil && canTimeOut {
		err = c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return &Error{Op: op, Kind: BadRequest, Reason: "the body was cut short", Err: err}
	}
	x.bodyRead = true
	return nil
}

// memoryError returns the error of a request that has not run, and does not fit into the budget.
func (x *exchange) memoryError(op string) error {
	return &Error{Op: op, Kind: OutOfMemoryBudget, Reason: "clients make the node hold as much as they may", RetryAfter: otherNodeRetryAfter}
}

// roundTrip sends one request to a server. The caller must close the response
// body.
func (x *exchange) roundTrip(ctx context.Context, s ServerRequest) (*http.Response, ResponseHead, error) {
	s.Incoming, s.Body, s.ContentLength = x.r, x.body.Reader(), x.body.Len()
	s.TimeLeft = time.Until(x.deadline)
	s.HasAccounts, s.Account = x.accounts.HasAccounts(), x.accountName()
	s.OwnConnection = x.sentTo[s.Server.Address]
	if x.sentTo == nil {
		x.sentTo = make(map[string]bool)
	}
	x.sentTo[s.Server.Address] = true
	x.event.Server, x.event.Build = s.Server.ID, s.Server.Build
	x.event.Attempts++
	x.event.ServerStatus, x.event.ServerNotRun, x.event.Connection = 0, false, Connection{}
	sent := time.Now()
	ctx = x.withAccountCheck(withConnection(ctx, &x.event.Connection))
	resp, err := x.handler.Transport(x.pool).RoundTrip(x.handler.NewServerRequest(ctx, s))
	if err != nil {
		return nil, ResponseHead{}, err
	}
	head := x.handler.DecodeResponse(resp)
	x.event.ServerStatus, x.event.ServerNotRun = head.Status, head.NotRun
	if head.RequestID != x.head.ID || !head.NotRun && head.Status < 300 && !head.Signed {
		// A late response to another request, or one without the server's
		// signature. A refusal of another request tells nothing of this one.
		x.recordAsks(s.Server, sent, backend.Asks{Late: true, Draining: head.Asks.Draining})
		resp.Body.Close()
		return nil, head, errors.Errorf("the answer is to request %q", head.RequestID)
	}
	x.recordAsks(s.Server, sent, head.Asks)
	if head.NotRun && head.Status < http.StatusBadRequest {
		resp.Body.Close()
		return nil, head, errors.Errorf("the server answers with status %d that it did not run the request", head.Status)
	}
	return resp, head, nil
}

func (x *exchange) recordAsks(s *backend.Server, sent time.Time, a backend.Asks) {
	if x.handler.RecordAsks != nil {
		x.handler.RecordAsks(s, sent, a)
	}
}

// forward sends the request and handles attempts that yield no response body
// to read: a failed round trip, or a rejection by the server. If the returned
// result is nil, the caller must read and close the response body.
func (x *exchange) forward(ctx context.Context, s ServerRequest) (*http.Response, ResponseHead, *result) {
	if x.callerLeft() {
		return nil, ResponseHead{}, &result{done: true, notRun: true, err: callerLeftError(nil)}
	}
	if ctx.Err() != nil {
		return nil, ResponseHead{}, &result{notRun: true, unsent: true, reason: "it ended before it was sent"}
	}
	if err := x.checkAccount(); err != nil {
		return nil, ResponseHead{}, &result{done: true, notRun: true, err: err}
	}
	x.isUnreached = false
	resp, head, err := x.roundTrip(ctx, s)
	switch {
	case err != nil && x.callerLeft(): // which may be why it was not sent
		return nil, ResponseHead{}, &result{done: true, notRun: true, err: callerLeftError(err)}
	case err != nil && transport.IsDialError(err):
		if err := x.checkAccount(); err != nil { // which may be why it was not sent
			return nil, ResponseHead{}, &result{done: true, notRun: true, err: err}
		}
		x.handler.Balancer.ObserveRefusal(time.Now(), s.Server)
		x.isUnreached = transport.IsUnreachable(err)
		return nil, head, &result{failed: true, notRun: true, unsent: true, reason: err.Error()}
	case err != nil:
		x.mayHaveRun = true
		return nil, head, &result{failed: true, brokenOff: head.Status == 0, reason: err.Error()}
	case head.NotRun:
		discardBody(resp.Body)
		if head.Status == http.StatusServiceUnavailable {
			x.handler.Balancer.ObserveNoRoom(time.Now(), s.Server)
		}
		return nil, head, &result{failed: !head.Misdirected, notRun: true, reason: "the server refused it", head: head}
	}
	x.mayHaveRun = true
	return resp, head, nil
}

func (x *exchange) callerLeft() bool {
	return x.handler.CallerLeft != nil && x.handler.CallerLeft(x.r.Context())
}

// relayResponse forwards a response. If the server failed the request, or the response
// breaks off before it was longer than the buffer, nothing has been sent yet.
func (x *exchange) relayResponse(head ResponseHead, body io.Reader) result {
	content, err := x.readResponse(body)
	complete := len(content) <= maxBufferedResponse
	isSuccess := head.Status < http.StatusMultipleChoices
	if err == nil && isSuccess && (len(content) > 0 || !head.EndsWithConnection) {
		x.observeResponse()
	}
	switch {
	case isKind(err, ResponseOverBudget):
		return result{done: true, err: err}
	case err != nil:
		return result{failed: true, brokenOff: true, reason: err.Error()}
	case head.promisesNotRun():
		return result{failed: true, reason: "the server answered with status " + strconv.Itoa(head.Status) + " without stating that it did not run the request"}
	case head.Status >= http.StatusInternalServerError && !complete:
		return result{failed: true, reason: "the server failed it, and its error response is too long"}
	case head.Status >= http.StatusInternalServerError:
		return result{failed: true, reason: "the server failed it", head: head, body: content}
	case x.headerWritten:
		return result{done: true, err: &Error{Op: "resume", Kind: StreamInterrupted, Reason: "the server does not resume it"}}
	}
	x.writeResponse(head, content)
	if complete || x.event.Kind != "" {
		return result{done: true, brokenOff: isSuccess && !x.responseBegan}
	}
	return x.relayRest(body)
}

// readResponse reads the part of a response that is buffered, and one byte more if there is a rest.
func (x *exchange) readResponse(body io.Reader) ([]byte, error) {
	buf := memory.Buffer{Holding: x.holding}
	err := buf.Fill(body, -1, maxBufferedResponse)
	if memory.IsKind(err, memory.TooLarge) {
		err = nil
	}
	if memory.IsKind(err, memory.OverBudget) || !x.holding.Grow(int64(buf.Len())) { // for the copy in one piece
		return nil, responseMemoryError()
	}
	return buf.Bytes(), err
}

// relayRest forwards the part of a response that was not buffered. An error then ends the
// caller's connection.
func (x *exchange) relayRest(body io.Reader) result {
	source := &failingReader{r: body}
	_, err := io.CopyBuffer(struct{ io.Writer }{x.w}, source, make([]byte, copyBufferBytes))
	switch {
	case source.err != nil:
		return result{done: true, failed: true, brokenOff: true, err: &Error{Op: "serve", Kind: StreamInterrupted, Reason: source.err.Error()}}
	case err != nil:
		return result{done: true, err: &Error{Op: "serve", Kind: CallerDisconnected, Reason: err.Error()}}
	}
	return result{done: true}
}

// copyBufferBytes is the size of the buffer for the rest of a long response.
const copyBufferBytes = 16 << 10

// failingReader remembers the error that its reader returned, other than io.EOF.
type failingReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (f *failingReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if err != nil && err != io.EOF {
		f.err = err
	}
	return n, err
}

// spendRetry reports whether the request may be retried, and takes the retry
// from the budget.
func (x *exchange) spendRetry() bool {
	return time.Until(x.deadline) > 0 && x.handler.RetryBudget(x.pool.Name).TrySpend(time.Now())
}

// observeRetry reports a failed attempt that will be followed by another.
func (x *exchange) observeRetry(kind ErrorKind, status int, reason string) {
	ev := x.event
	ev.Kind, ev.Status, ev.Reason = kind, status, reason
	x.observe(ev)
}

// writeResponse writes a buffered server response to the caller.
func (x *exchange) writeResponse(head ResponseHead, body []byte) {
	x.event.TimeToFirstByte = time.Since(x.start)
	x.writeHeader(head)
	if _, err := x.w.Write(body); err != nil {
		x.event.Kind, x.event.Reason = CallerDisconnected, err.Error()
	}
}

// writeHeader writes the status and headers of a server response to the
// caller.
func (x *exchange) writeHeader(head ResponseHead) {
	maps.Copy(x.w.Header(), head.Header)
	x.event.Status = head.Status
	x.headerWritten = true
	x.w.WriteHeader(head.Status)
}

// rejection returns the final error for a request that is sent to no server, or to no other
// one. It has the given kind only if the request has not run.
func (x *exchange) rejection(op string, kind ErrorKind, reason string, retryAfter time.Duration) error {
	switch {
	case x.headerWritten:
		return &Error{Op: op, Kind: StreamInterrupted, Reason: reason}
	case x.mayHaveRun:
		return &Error{Op: op, Kind: ServerFailed, Reason: reason}
	}
	return &Error{Op: op, Kind: kind, Reason: reason, RetryAfter: retryAfter}
}

// contextError returns the final error for a request whose deadline has passed
// or whose caller has disconnected.
func (x *exchange) contextError(ctx context.Context) error {
	const op = "serve"
	switch {
	case x.r.Context().Err() != nil:
		return callerLeftError(ctx.Err())
	case x.mayHaveRun:
		return &Error{Op: op, Kind: TimedOut, Reason: "no answer came in time"}
	case x.handler.active.Ending().Err() != nil:
		return &Error{Op: op, Kind: NotReady, Reason: shuttingDown, RetryAfter: notReadyRetryAfter}
	}
	return &Error{Op: op, Kind: ExpiredUnsent, Reason: "no server could take it in time", RetryAfter: x.retryAfter()}
}

func callerLeftError(err error) error {
	return &Error{Op: "serve", Kind: CallerDisconnected, Reason: "the caller closed its connection", Err: err}
}

// responseMemoryError returns the error of a response that does not fit into the budget.
func responseMemoryError() error {
	return &Error{Op: "serve", Kind: ResponseOverBudget, Reason: "clients make the node hold as much as they may"}
}

// streamFailure returns the result of a stream that ended with an error.
func streamFailure(err error) result {
	if isKind(err, ResponseOverBudget) {
		return result{done: true, err: err}
	}
	return result{failed: true, brokenOff: !isKind(err, CallerDisconnected), reason: err.Error()}
}

// finish writes the error response if err is not nil, and reports the request.
func (x *exchange) finish(err error) {
	x.event.Final = true
	if err != nil {
		var e *Error
		if !errors.As(err, &e) {
			e = &Error{Op: "serve", Kind: ServerFailed, Reason: err.Error()}
		}
		x.event.Kind, x.event.Reason, x.event.RetryAfter = e.Kind, e.Error(), e.RetryAfter
		if !x.headerWritten && e.Kind != CallerDisconnected {
			x.event.Status = e.Status()
			x.refuseRelayed(e)
			writeError(x.w, e)
		}
	}
	x.observe(x.event)
	if err != nil && (x.headerWritten || x.event.Kind == CallerDisconnected) {
		panic(http.ErrAbortHandler) // closes the connection: the response is incomplete
	}
}

// hasFailedAttempt reports whether a request that ended with the given kind of error was sent
// to a server that failed it.
func (x *exchange) hasFailedAttempt(kind ErrorKind) bool {
	return x.event.Attempts > 0 && (kind == ServerFailed || kind == StreamInterrupted)
}

func (x *exchange) observe(ev Event) {
	if x.handler.Observe == nil {
		return
	}
	ev.PromptParts, ev.Resumes, ev.LastEventID = x.head.PromptParts, x.head.Resumes, x.head.LastEventID
	if x.hasFailedAttempt(ev.Kind) {
		ev.Fingerprint = x.fingerprint().String()
	}
	ev.ID, ev.Pool, ev.Adapter, ev.Elapsed = x.head.ID, x.pool.Name, x.head.AdapterName(), time.Since(x.start)
	if ev.ID == "" {
		ev.ID = x.r.Header.Get(x.handler.RequestIDHeader)
	}
	if x.route != nil {
		ev.Route = x.route.Name
	}
	ev.Account, ev.RelayedBy = x.accountName(), x.relayedBy
	if x.table != nil {
		ev.ConfigVersion = x.table.Version()
	}
	if x.handler.TableAge != nil {
		ev.ConfigAge = x.handler.TableAge()
	}
	if !x.deadline.IsZero() {
		ev.TimeLeft = time.Until(x.deadline)
	}
	x.handler.Observe(ev)
}

type errorBody struct {
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
	body := errorBody{Type: e.Kind, Message: e.Reason, NotRun: e.NotRun(), RetryMs: e.RetryAfter.Milliseconds()}
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has disconnected
}
