package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
)

// longPromptTokens is the prompt length, in tokens, from which work counts as
// long. Its prefill delays the other requests of the batch for many decoding
// steps.
const longPromptTokens = 2048

// serveEngine acquires a grant for an engine, sends the request to it, and
// forwards the response stream. An interrupted stream is resumed on another
// engine if the route allows it.
func (x *exchange) serveEngine(ctx context.Context) error {
	x.lastEventID = x.head.LastEventID
	excluded := ""
	possibleRuns := 0
	checkPrompt := x.admitPrompt
	for attempts := 1; ; attempts++ {
		if err := checkPrompt(); err != nil {
			return err
		}
		checkPrompt = x.checkPrompt
		isExcluded := func(s *backend.Server) bool { return s.ID == excluded }
		if err := x.awaitPauses(ctx, isExcluded); err != nil {
			return err
		}
		g, err := x.acquireGrant(ctx, attempts, excluded)
		if err != nil && ctx.Err() == nil && x.isPaused(isExcluded) {
			continue // the engines asked for a pause while the request was queued
		}
		if err != nil {
			return x.acquireError(ctx, err)
		}
		if x.event.TimeToGrant == 0 {
			x.event.TimeToGrant = time.Since(x.start)
		}
		res := x.tryEngine(ctx, g)
		if res.done {
			return res.err
		}
		if ctx.Err() != nil {
			return x.contextError(ctx)
		}
		if !res.notRun {
			possibleRuns++
		}
		if !res.notRun || g.ID == "" {
			excluded = g.Engine // it failed, or lacks the adapter that it was believed to hold
		}
		canRetry := !x.promptTrial && (res.notRun || x.route.Resumable && possibleRuns < x.route.MaxAttempts)
		if attempts >= maxAttempts || !canRetry || !res.unsent && !x.spendRetry() {
			return x.finishFailedStream(res)
		}
		x.observeRetry(ServerFailed, res.head.Status, res.reason)
	}
}

func (x *exchange) acquireGrant(ctx context.Context, n int, excluded string) (caller.Grant, error) {
	var names []string
	for _, s := range x.handler.Servers().Pool(x.pool.Name) {
		if !s.Draining && s.ID != excluded && x.handler.Balancer.Pauses.Left(time.Now(), s) == 0 {
			names = append(names, s.ID)
		}
	}
	return x.handler.Acquire(ctx, names, engine.Work{
		ID: x.head.ID + "." + strconv.Itoa(n), Adapter: x.head.AdapterName(),
		Short:          x.head.PromptTokens < longPromptTokens,
		ExpectedTokens: x.head.OutputTokens(), PromptTokens: x.head.PromptTokens, Deadline: x.deadline,
		FirstTokenDeadline: x.start.Add(x.route.FirstEventTimeout()), FirstTokenTarget: x.start.Add(x.route.TargetLatency),
	})
}

// acquireError returns the final error when no engine accepts the request.
func (x *exchange) acquireError(ctx context.Context, err error) error {
	var r *caller.Refusal
	if ctx.Err() != nil && x.r.Context().Err() != nil || !errors.As(err, &r) {
		return x.contextError(ctx)
	}
	return x.rejection("acquire", Busy, "no engine takes it: "+string(r.Reason), max(r.RetryAfter, x.retryAfter()))
}

// tryEngine sends the request to the granted engine, and releases the grant.
func (x *exchange) tryEngine(ctx context.Context, g caller.Grant) (res result) {
	adapterMissing := false
	var tokenTime time.Duration
	defer func() { x.handler.Release(g, adapterMissing, tokenTime) }()
	s, ok := x.handler.Servers().Server(g.Engine)
	if !ok {
		return result{notRun: true, unsent: true, reason: "the engine is gone"}
	}
	if s.Draining {
		return result{notRun: true, unsent: true, reason: "the engine began to drain while the request was queued"}
	}
	if x.handler.Balancer.Pauses.Left(time.Now(), s) > 0 {
		return result{notRun: true, unsent: true, reason: "the engine asked for a pause while the request was queued"}
	}
	if x.checkPrompt() != nil {
		return result{notRun: true, unsent: true, reason: promptCrashes}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.responseBegan = false
	sent := time.Now()
	defer func() { x.observeAttempt(ctx, s, time.Since(sent), res) }() // before the context is cancelled
	resp, head, failed := x.forward(ctx, ServerRequest{
		Server: s, IsEngine: true, Priority: x.route.Priority, LastEventID: x.lastEventID,
		AdapterVersion: x.handler.RequiredVersion(x.head.Model, x.head.Adapter),
	})
	if failed != nil {
		adapterMissing = head.Misdirected
		return *failed
	}
	defer resp.Body.Close()
	if head.Status != http.StatusOK || !head.Stream {
		return x.relayResponse(head, resp.Body)
	}
	perEvent, err := x.relayStream(head, resp.Body)
	tokenTime = perEvent / time.Duration(x.pool.Engine.TokensPerEvent)
	if err == nil {
		return result{done: true, brokenOff: head.EndsWithConnection && x.lastEventID == ""}
	}
	return result{failed: true, brokenOff: true, reason: err.Error()}
}

// finishFailedStream ends the request after its last failed attempt.
func (x *exchange) finishFailedStream(res result) error {
	if x.headerWritten {
		return &Error{Op: "stream", Kind: StreamInterrupted, Reason: res.reason}
	}
	return x.finishFailed(res)
}

// relayStream forwards complete events until the stream ends. It returns the
// mean time between events.
func (x *exchange) relayStream(head ResponseHead, body io.Reader) (perEvent time.Duration, err error) {
	events := newEventReader(body)
	var first, last time.Time
	n := 0
	for {
		ev, err := events.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return 0, err
		}
		if ev.hasData {
			x.observeResponse()
		}
		if x.headerWritten && !ev.isAfter(x.lastEventID) {
			continue // already sent to the caller
		}
		now := time.Now()
		if n == 0 {
			first = now
		} else {
			x.event.MaxEventGap = max(x.event.MaxEventGap, now.Sub(last))
		}
		last = now
		n++
		if err := x.writeEvent(head, ev); err != nil {
			return 0, err
		}
	}
	if !x.headerWritten {
		x.writeHeader(head)
	}
	if n > 1 {
		perEvent = last.Sub(first) / time.Duration(n-1)
	}
	return perEvent, nil
}

func (x *exchange) writeEvent(head ResponseHead, ev streamEvent) error {
	if !x.headerWritten {
		x.event.TimeToFirstByte = time.Since(x.start)
		x.writeHeader(head)
	}
	if _, err := x.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.id != "" {
		x.lastEventID = ev.id
	}
	x.event.EventsSent++
	return http.NewResponseController(x.w).Flush()
}
