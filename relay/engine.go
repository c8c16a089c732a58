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
	excluded, last := make(map[string]bool), "" // engines that are not tried again, and the last of them
	possibleRuns := 0
	var next *caller.Grant // acquired for the next attempt while the last one ran
	defer func() {
		if next != nil {
			x.handler.Release(*next, false, 0)
		}
	}()
	for attempts := 1; ; attempts++ {
		if err := x.checkQuarantine(); err != nil {
			return err
		}
		var g caller.Grant
		if next != nil {
			g, next = *next, nil
		} else {
			if len(x.engines(excluded)) == 0 { // another try is better than none
				clear(excluded)
				excluded[last] = last != ""
			}
			isExcluded := func(s *backend.Server) bool { return excluded[s.ID] || !x.canUse(s) }
			if err := x.awaitPauses(ctx, isExcluded); err != nil {
				return err
			}
			var err error
			g, err = x.acquireGrant(ctx, excluded, x.lastEventAt)
			if err != nil && ctx.Err() == nil && x.isPaused(isExcluded) {
				continue // the engines asked for a pause while the request was queued
			}
			if err != nil {
				return x.acquireError(ctx, err)
			}
		}
		if x.event.TimeToGrant == 0 {
			x.event.TimeToGrant = time.Since(x.start)
		}
		mayResume := !x.trial && possibleRuns+1 < x.route.MaxAttempts && attempts < maxAttempts
		res := x.tryEngine(ctx, g, mayResume)
		next = res.next
		if res.done {
			return res.err
		}
		if ctx.Err() != nil {
			return x.contextError(ctx)
		}
		if !res.notRun {
			possibleRuns++
		}
		if !res.notRun || g.ID == "" || res.failed && res.unsent {
			excluded[g.Engine] = true // it failed, lacks the adapter that it was believed to hold, or accepts no connection
			last = g.Engine
		}
		canRetry := !x.trial && (res.notRun || x.route.Resumable && possibleRuns < x.route.MaxAttempts)
		if attempts >= maxAttempts || !canRetry || !res.unsent && !res.retrySpent && !x.spendRetry() {
			return x.finishFailedStream(res)
		}
		x.observeRetry(ServerFailed, res.head.Status, res.reason)
	}
}

// acquireGrant acquires a grant for an engine. lastEventAt is when the caller got its last
// event, or zero.
func (x *exchange) acquireGrant(ctx context.Context, excluded map[string]bool, lastEventAt time.Time) (caller.Grant, error) {
	names := x.engines(excluded)
	due, target := x.start.Add(x.route.FirstEventTimeout()), x.start.Add(x.route.TargetLatency)
	if !lastEventAt.IsZero() {
		due, target = lastEventAt.Add(x.route.FirstEventTimeout()), lastEventAt.Add(x.route.TargetGap)
	}
	x.grants++
	w := engine.Work{
		ID: x.head.ID + "." + strconv.Itoa(x.grants), Adapter: x.head.AdapterName(), Priority: x.priority(), Account: x.accountName(),
		Short:          x.head.PromptTokens < longPromptTokens,
		ExpectedTokens: x.head.OutputTokens(), PromptTokens: x.head.PromptTokens, Deadline: x.deadline,
		FirstTokenDeadline: due, FirstTokenTarget: target,
	}
	if x.route.IsResumableStream() {
		key := x.streamKey(x.head.ID)
		w.Stream = string(key[:])
	}
	if sent := x.tokensSent(); sent > 0 {
		w.Resumed = true
		w.ExpectedTokens, w.PromptTokens = max(x.pool.Engine.TokensPerEvent, w.ExpectedTokens-sent), w.PromptTokens+sent
	}
	g, err := x.handler.Acquire(ctx, names, w)
	if err == nil {
		x.recordGrant(g)
	}
	return g, err
}

// engines returns the names of the engines that the request may be sent to: those that accept
// connections, if there are any.
func (x *exchange) engines(excluded map[string]bool) []string {
	var up, down []string
	now := time.Now()
	for _, s := range x.handler.Servers().Pool(x.pool.Name) {
		switch {
		case excluded[s.ID] || !x.canUse(s) || !x.handler.Balancer.IsUsable(now, s):
		case x.handler.Balancer.IsDown(now, s):
			down = append(down, s.ID)
		default:
			up = append(up, s.ID)
		}
	}
	if len(up) == 0 {
		return down
	}
	return up
}

// tokensSent returns about how many tokens of the stream the caller has. An engine reads them with
// the prompt when the stream goes on there.
func (x *exchange) tokensSent() int {
	events, err := strconv.Atoi(x.lastEventID)
	if err != nil || !x.route.IsResumableStream() {
		return 0 // an ID that is no number does not tell how many events there were
	}
	return max(0, events) * x.pool.Engine.TokensPerEvent
}

// acquireError returns the final error when no engine accepts the request.
func (x *exchange) acquireError(ctx context.Context, err error) error {
	var r *caller.Refusal
	if ctx.Err() != nil && x.r.Context().Err() != nil || !errors.As(err, &r) {
		return x.contextError(ctx)
	}
	return x.rejection("acquire", Busy, "no engine takes it: "+string(r.Reason), max(r.RetryAfter, x.retryAfter()))
}

// tryEngine sends the request to the granted engine, and releases the grant. If mayResume
// is set, a stalled stream may go on at another engine.
func (x *exchange) tryEngine(ctx context.Context, g caller.Grant, mayResume bool) (res result) {
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
	if s, ok = x.atGrantedStart(s, g); !ok {
		return result{failed: true, notRun: true, unsent: true, reason: "the engine has started again, and the software version of this start is not known"}
	}
	if !x.canUse(s) {
		return result{failed: true, notRun: true, unsent: true, reason: "the engine has another software version than the one that began the stream"}
	}
	if x.handler.Balancer.Pauses.Left(time.Now(), s) > 0 {
		return result{notRun: true, unsent: true, reason: "the engine asked for a pause while the request was queued"}
	}
	if g.ID == "" && x.handler.IsLimited != nil && x.handler.IsLimited(s) {
		return result{notRun: true, unsent: true, reason: "the engine has a limit, and its owner cannot be reached"}
	}
	if err := x.checkQuarantine(); err != nil {
		return result{notRun: true, unsent: true, reason: err.Error()}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := x.watch(s, cancel, mayResume)
	lastEventAt := x.lastEventAt
	w.find = func(ctx context.Context, at time.Time) (caller.Grant, bool) {
		if at.IsZero() {
			at = lastEventAt
		}
		g, err := x.acquireGrant(ctx, map[string]bool{g.Engine: true}, at)
		return g, err == nil
	}
	w.start()
	defer func() { w.close(&res) }()
	x.beginAttempt()
	sent := time.Now()
	defer func() { x.observeAttempt(ctx, s, time.Since(sent), res) }() // before the context is cancelled
	resp, head, failed := x.forward(ctx, ServerRequest{
		Server: s, IsEngine: true, Priority: x.priority(), LastEventID: x.lastEventID,
		AdapterVersion: x.handler.RequiredVersion(x.head.Model, x.head.Adapter),
	})
	if failed != nil {
		adapterMissing = head.Misdirected
		return *failed
	}
	defer resp.Body.Close()
	if head.Status != http.StatusOK || !head.Stream {
		w.stop()
		return x.relayResponse(head, resp.Body)
	}
	perEvent, err := x.relayStream(head, resp.Body, w)
	tokenTime = perEvent / time.Duration(x.pool.Engine.TokensPerEvent)
	if err == nil {
		return result{done: true}
	}
	return streamFailure(err)
}

// finishFailedStream ends the request after its last failed attempt.
func (x *exchange) finishFailedStream(res result) error {
	if x.headerWritten {
		return &Error{Op: "stream", Kind: StreamInterrupted, Reason: res.reason}
	}
	return x.finishFailed(res)
}

// relayStream forwards complete events until the stream ends. It returns the
// mean time between events with content. A stream that has no events and whose end only the
// connection shows was broken off, as each stream has an event.
func (x *exchange) relayStream(head ResponseHead, body io.Reader, watch *stallWatch) (perEvent time.Duration, err error) {
	events := newEventReader(body)
	events.holding = x.holding
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
		if ev.hasContent {
			x.observeResponse()
			x.attemptEvents++
		}
		now := time.Now()
		isProgress := watch.add(now, ev)
		if x.headerWritten && !ev.isAfter(x.lastEventID) {
			continue // already sent to the caller
		}
		if isProgress {
			if n == 0 {
				first = now
			} else {
				x.event.MaxEventGap = max(x.event.MaxEventGap, now.Sub(last))
			}
			last = now
			n++
		}
		watch.startWrite()
		err = x.writeEvent(head, ev)
		watch.endWrite()
		if err != nil {
			return 0, callerLeftError(err)
		}
	}
	if head.EndsWithConnection && x.attemptEvents == 0 && x.lastEventID == "" {
		return 0, errors.New("the connection ended before the first event")
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
	if ev.hasContent || ev.id != "" {
		x.recordOrigin()
	}
	if !x.headerWritten {
		x.event.TimeToFirstByte = time.Since(x.start)
		x.writeHeader(head)
	}
	if _, err := x.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.hasContent && ev.id != "" { // the content of an event without any may follow
		x.lastEventID = ev.id
	}
	if ev.hasContent {
		x.lastEventAt = time.Now()
	}
	x.event.EventsSent++
	return http.NewResponseController(x.w).Flush()
}
