package relay

import (
	"context"
	"io"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/route"
)

// maxSends bounds the sends of one request, those that no server ran included.
const maxSends = 4

// servePlain sends the request to a plain server. Where the route allows it, a
// failure is tried again at another server.
func (x *exchange) servePlain(ctx context.Context) error {
	tried := make(map[string]bool)
	for {
		servers := x.front.Servers().Pool(x.pool.Name)
		s, done := x.front.Balancer.Pick(time.Now(), servers, tried)
		if s == nil {
			return x.noServer(len(tried) > 0)
		}
		tried[s.ID] = true
		res := x.tryPlain(ctx, s)
		done(time.Now(), res.failed)
		if res.final {
			return res.err
		}
		if ctx.Err() != nil {
			return x.expired(ctx)
		}
		more := len(tried) < x.route.MaxAttempts && (res.notRun || x.route.Kind == route.Idempotent) && x.mayRepeat()
		if !more {
			return x.giveUp(res)
		}
		x.again(ServerFailed, res.answer.Status, res.reason)
	}
}

// result is the end of one attempt.
type result struct {
	final  bool // the caller has its answer, or err is the answer
	err    error
	failed bool // it counts against the server
	notRun bool // the server did not run the request
	reason string
	answer ResponseHead // with body, if the server gave a whole answer that is a failure
	body   []byte
}

func (x *exchange) tryPlain(ctx context.Context, s *backend.Server) result {
	resp, a, res := x.sendFor(ctx, ServerRequest{Server: s})
	if res != nil {
		return *res
	}
	defer resp.Body.Close()
	return x.readAnswer(a, resp.Body)
}

// giveUp is the final answer after the last attempt.
func (x *exchange) giveUp(res result) error {
	const op = "serve"
	switch {
	case res.body != nil:
		x.answer(res.answer, res.body)
		return nil
	case res.notRun && !x.maybeRan:
		return &Error{Op: op, Kind: Busy, Reason: res.reason, RetryAfter: busyRetry}
	}
	return &Error{Op: op, Kind: ServerFailed, Reason: res.reason}
}

func (x *exchange) noServer(tried bool) error {
	const op = "choose"
	switch {
	case x.maybeRan:
		return &Error{Op: op, Kind: ServerFailed, Reason: "no other server is left"}
	case tried:
		return &Error{Op: op, Kind: Busy, Reason: "every server refused it", RetryAfter: busyRetry}
	}
	return &Error{Op: op, Kind: NoServer, Reason: "the pool has no server", RetryAfter: busyRetry}
}

// drain reads the rest of a short answer, so that its connection can be used
// again.
func drain(r io.Reader) {
	_, _ = io.CopyN(io.Discard, r, 64<<10) // a connection that fails here is dropped
}
