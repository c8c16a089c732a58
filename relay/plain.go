package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
)

// maxAttempts limits the attempts of a request on engines, including those
// that servers did not run.
const maxAttempts = 4

// servePlain sends the request to a server without a model engine. A failed
// attempt is retried on another server if the route allows it.
func (x *exchange) servePlain(ctx context.Context) error {
	x.lastEventID = x.head.LastEventID
	if err := x.admitPlain(); err != nil {
		return err
	}
	tried := make(map[string]bool)
	for {
		if err := x.checkQuarantine(); err != nil {
			return err
		}
		if err := x.awaitPauses(ctx, func(s *backend.Server) bool { return tried[s.ID] || !x.canUse(s) }); err != nil {
			return err
		}
		servers := slices.DeleteFunc(slices.Clone(x.handler.Servers().Pool(x.pool.Name)), func(s *backend.Server) bool { return !x.canUse(s) })
		s, done := x.handler.Balancer.Pick(time.Now(), servers, tried)
		if s == nil {
			if x.awaitPlace(ctx, servers, tried) {
				continue
			}
			return x.noServerError(len(tried) > 0)
		}
		if x.handler.TakeTurn != nil && !x.handler.TakeTurn(ctx, s) {
			done(time.Now(), false)
			continue
		}
		tried[s.ID] = true
		sent := time.Now()
		res := x.tryPlain(ctx, s, len(tried) < x.route.MaxAttempts, tried)
		x.observePlain(time.Since(sent), &res)
		done(time.Now(), res.failed)
		if res.done {
			return res.err
		}
		if ctx.Err() != nil {
			return x.contextError(ctx)
		}
		canRetry := !x.trial && (res.notRun || x.route.Retryable() && (x.route.Resumable || !x.headerWritten))
		if !canRetry || len(tried) >= x.route.MaxAttempts || !res.unsent && !res.retrySpent && !x.spendRetry() {
			return x.finishFailedStream(res)
		}
		x.observeRetry(ServerFailed, res.head.Status, res.reason)
	}
}

const (
	// placeInterval is the time between two looks for a place at a brittle server.
	placeInterval = 5 * time.Millisecond
	// placeWaitShare is the part of the time until the target for which a place is awaited.
	placeWaitShare = 0.5
)

// awaitPlace waits a little if all servers that the request may get are brittle ones at which this node has
// its part of the requests. It returns false if that is not so, or has lasted too long for the request.
func (x *exchange) awaitPlace(ctx context.Context, servers []*backend.Server, tried map[string]bool) bool {
	if !x.handler.Balancer.HasFull(time.Now(), servers, tried) {
		return false
	}
	if x.placeDeadline.IsZero() {
		x.placeDeadline = time.Now().Add(time.Duration(placeWaitShare * float64(x.timeLeftToAnswer())))
	}
	if time.Now().After(x.placeDeadline) {
		return false
	}
	t := time.NewTimer(placeInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// result is the outcome of one attempt.
type result struct {
	done   bool // the response has been written, or err is the final error
	err    error
	failed bool // the failure counts against the server
	notRun bool // the server did not run the request
	unsent bool // nothing was sent, so the attempt costs no retry
	// brokenOff is set if the server broke off the attempt. If its response has not begun, it
	// may also be set for a success that ends as if it were broken off.
	brokenOff bool
	// retrySpent is set if the retry was taken from the budget, and next if its grant
	// was acquired.
	retrySpent bool
	next       *caller.Grant
	reason     string
	head       ResponseHead // set with body if the server returned a complete error response
	body       []byte
}

// isComplete reports whether the server ran the request to its end.
func (r *result) isComplete() bool {
	return !r.notRun && !r.brokenOff && (r.done && r.err == nil || r.body != nil)
}

// tryPlain sends the request to a server. If mayResume is set, a stalled stream may go on
// at a server that was not tried.
func (x *exchange) tryPlain(ctx context.Context, s *backend.Server, mayResume bool, tried map[string]bool) (res result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := x.watch(s, cancel, mayResume)
	w.find = func(context.Context, time.Time) (caller.Grant, bool) {
		return caller.Grant{}, slices.ContainsFunc(x.handler.Servers().Pool(x.pool.Name), func(s *backend.Server) bool {
			return !tried[s.ID] && x.canUse(s) && x.handler.Balancer.IsUsable(time.Now(), s)
		})
	}
	w.start()
	defer func() { w.close(&res) }()
	x.beginAttempt()
	sent := time.Now()
	defer func() { x.observeAttempt(ctx, s, time.Since(sent), res) }() // before the context is cancelled
	resp, head, failed := x.forward(ctx, ServerRequest{Server: s, LastEventID: x.lastEventID})
	if failed != nil {
		return *failed
	}
	defer resp.Body.Close()
	if head.Status != http.StatusOK || !head.Stream {
		w.stop()
		return x.relayResponse(head, resp.Body)
	}
	if _, err := x.relayStream(head, resp.Body, w); err != nil {
		return streamFailure(err)
	}
	return result{done: true}
}

// finishFailed ends the request after its last failed attempt.
func (x *exchange) finishFailed(res result) error {
	const op = "serve"
	switch {
	case res.body != nil:
		x.writeResponse(res.head, res.body)
		return nil
	case res.notRun && !x.mayHaveRun:
		return &Error{Op: op, Kind: Busy, Reason: res.reason, RetryAfter: x.retryAfter()}
	}
	return &Error{Op: op, Kind: ServerFailed, Reason: res.reason}
}

func (x *exchange) noServerError(tried bool) error {
	const op = "choose"
	switch {
	case x.mayHaveRun:
		return &Error{Op: op, Kind: ServerFailed, Reason: "no other server is left"}
	case tried:
		return &Error{Op: op, Kind: Busy, Reason: "every server refused it", RetryAfter: x.retryAfter()}
	}
	return &Error{Op: op, Kind: NoServer, Reason: "the pool has no server", RetryAfter: x.retryAfter()}
}

// discardBody reads the rest of a short response, so that its connection can be reused,
// and closes it. A response that is long, or slow to end, costs its connection.
func discardBody(body io.ReadCloser) {
	stop := time.AfterFunc(refusalBodyWait, func() { body.Close() })
	_, _ = io.CopyN(io.Discard, body, maxBufferedResponse) // on an error the connection is closed
	stop.Stop()
	body.Close()
}
