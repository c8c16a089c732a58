package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
)

const (
	maxAttempts         = 6
	minHedgeDelay       = 100 * time.Millisecond
	hedgeDelayFactor    = 8                // delay before a hedge, in median times between tokens
	stallFactor         = 5                // gap that is reported to the router, in median times between tokens
	migrationCostFactor = 12               // cost of migrating a stream, in median times between tokens
	stallTimeout        = 10 * time.Second // shortest time without a token before an attempt is abandoned
	deadlineGrace       = time.Second      // time after the deadline for the owner's refusal to arrive
	minCheckInterval    = 20 * time.Millisecond
	speculativeInterval = 300 * time.Millisecond // shortest time between speculative attempts of a request
)

// completionRun runs a completion from its first attempt to its response. At
// most two attempts run at a time: the current one and a speculative one,
// which is either a hedge before the first token or a migration away from a
// slow engine.
type completionRun struct {
	handler    *Handler
	completion completion
	writer     *respWriter
	start      time.Time

	current          *attempt
	speculative      *attempt
	sentTokens       int // number of tokens sent to the caller
	lastToken        time.Time
	tokenGap         time.Duration // moving average of the time between tokens
	timeToFirstToken time.Duration
	attempts         int
	hedged           bool
	isRetry          bool      // the speculative attempt is paid by the retry budget, not as a hedge
	searchedAt       time.Time // last speculative attempt since the current one has stalled
	nextSpeculative  time.Time // earliest time of the next speculative attempt
	mayHaveRun       bool      // an engine may have received the request
}

func (cr *completionRun) run(ctx context.Context) error {
	cr.lastToken = cr.start
	cr.handler.countRequest(cr.completion.maxTokens)
	cr.current = cr.startNext(ctx, attemptOptions{})
	defer cr.stop()
	check := time.NewTimer(cr.checkInterval())
	defer check.Stop()
	for {
		select {
		case ev := <-cr.current.events:
			done, err := cr.handle(ctx, ev)
			if err != nil && ctx.Err() != nil {
				return cr.endError(ctx) // the event may only be a consequence of the end
			}
			if done || err != nil {
				return err
			}
		case ev := <-cr.speculativeEvents():
			if err := cr.handleSpeculative(ev); err != nil {
				return err
			}
		case <-check.C:
			if err := cr.checkProgress(ctx); err != nil {
				return err
			}
			check.Reset(cr.checkInterval())
		case <-ctx.Done():
			return cr.endError(ctx)
		}
	}
}

// endError returns the error of a run that the caller or the end of the node has ended.
func (cr *completionRun) endError(ctx context.Context) error {
	for _, a := range []*attempt{cr.current, cr.speculative} {
		cr.mayHaveRun = cr.mayHaveRun || a != nil && a.engineName() != ""
	}
	reason := "the caller went away"
	if cr.handler.active.Ending().Err() != nil {
		if cr.outcome() == NotRun {
			return shutdownError("complete")
		}
		reason = "the node is shutting down"
	}
	return &Error{Op: "complete", Kind: Incomplete, Outcome: cr.outcome(), Reason: reason, Err: ctx.Err()}
}

func (cr *completionRun) startNext(ctx context.Context, opts attemptOptions) *attempt {
	cr.attempts++
	return cr.handler.startAttempt(ctx, cr.completion, cr.completion.id+"."+strconv.Itoa(cr.attempts), opts)
}

func (cr *completionRun) stop() {
	cr.current.stop()
	if cr.speculative != nil {
		cr.speculative.stop()
	}
}

func (cr *completionRun) speculativeEvents() chan event {
	if cr.speculative == nil {
		return nil
	}
	return cr.speculative.events
}

func (cr *completionRun) outcome() Outcome {
	if cr.mayHaveRun || cr.sentTokens > 0 {
		return Unknown
	}
	return NotRun
}

// handle processes an event of the current attempt.
func (cr *completionRun) handle(ctx context.Context, ev event) (done bool, err error) {
	switch {
	case ev.isEOF():
		return true, cr.writer.finish()
	case ev.err == nil:
		return false, cr.forward(ev)
	}
	cr.mayHaveRun = cr.mayHaveRun || ev.mayHaveRun
	if cr.speculative != nil {
		cr.promote()
		return false, nil
	}
	if err := cr.retryError(ev.err); err != nil {
		return false, err
	}
	cr.current.stop()
	cr.current = cr.startNext(ctx, attemptOptions{resumeTokens: cr.sentTokens, excludedEngine: cr.failedEngine(ev)})
	return false, nil
}

// failedEngine returns the engine to exclude after a failure, or "". An engine
// that only lacked the adapter may be used again.
func (cr *completionRun) failedEngine(ev event) string {
	if ev.mayHaveRun {
		return cr.current.engineName()
	}
	return ""
}

func (cr *completionRun) promote() {
	cr.current.stop()
	cr.current, cr.speculative, cr.tokenGap = cr.speculative, nil, 0
}

// retryError returns nil if another attempt is allowed, and otherwise the
// final error.
func (cr *completionRun) retryError(cause error) error {
	var r *Refusal
	if errors.As(cause, &r) {
		return cr.refusalError(r)
	}
	if engine.IsKind(cause, engine.BadRequest) {
		return &Error{Op: "complete", Kind: BadRequest, Outcome: cr.outcome(), Reason: "the engine refuses the body", Err: cause}
	}
	var grantErr *peer.Error
	freeRetry := errors.As(cause, &grantErr) || engine.IsKind(cause, engine.AdapterMissing)
	if cr.attempts < maxAttempts && (freeRetry || cr.handler.spendRetry()) {
		return nil
	}
	kind := EngineFailed
	if cr.sentTokens > 0 {
		kind = Incomplete
	}
	return &Error{Op: "complete", Kind: kind, Outcome: cr.outcome(), Reason: "the engine failed", RetryAfter: noEngineRetryAfter, Err: cause}
}

func (cr *completionRun) refusalError(r *Refusal) error {
	kind := Busy
	switch r.Reason {
	case engine.DeadlineUnmet:
		kind = DeadlineExceeded
	case engine.NotLoaded, engine.LoadFailed, engine.Recovering, engine.Draining, engine.NoOwner:
		kind = NoCapacity
	}
	if cr.sentTokens > 0 {
		kind = Incomplete
	}
	return &Error{
		Op: "complete", Kind: kind, Outcome: cr.outcome(),
		Reason: "no engine takes the request: " + string(r.Reason), RetryAfter: r.RetryAfter,
	}
}

// countRequest counts a request towards the retry and hedge budgets.
func (h *Handler) countRequest(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryBudget.Credit(1)
	h.Router.AddHedgeCredit(tokens)
}

func (h *Handler) refundHedge() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Router.RefundHedge()
}

func (h *Handler) spendRetry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retryBudget.TrySpend(1)
}

// forward sends a chunk to the caller unless it repeats tokens that the caller
// has.
func (cr *completionRun) forward(ev event) error {
	if ev.tokens <= cr.sentTokens && len(ev.chunk.Choices) > 0 && ev.chunk.Choices[0].FinishReason == nil {
		return nil
	}
	now := time.Now()
	if cr.sentTokens == 0 {
		cr.timeToFirstToken = now.Sub(cr.start)
	}
	if cr.sentTokens > 0 {
		cr.tokenGap = (cr.tokenGap + now.Sub(cr.lastToken)) / 2
	}
	cr.sentTokens = max(cr.sentTokens, ev.tokens)
	if err := cr.writer.writeChunk(ev.chunk); err != nil {
		return &Error{Op: "complete", Kind: Incomplete, Outcome: Unknown, Reason: "the caller went away", Err: err}
	}
	if ev.chunk.HasContent() {
		cr.lastToken, cr.current.began = time.Now(), true // a caller that reads slowly is no stall
	}
	return nil
}

// handleSpeculative processes an event of the speculative attempt. It promotes
// the attempt once it is ahead of the current one.
func (cr *completionRun) handleSpeculative(ev event) error {
	if ev.err != nil {
		cr.mayHaveRun = cr.mayHaveRun || ev.mayHaveRun
		cr.speculative.stop()
		cr.speculative = nil
		if !ev.mayHaveRun && !cr.isRetry {
			cr.handler.refundHedge()
		}
		return nil
	}
	if ev.tokens <= cr.sentTokens {
		return nil
	}
	cr.promote()
	return cr.forward(ev)
}

func (cr *completionRun) checkInterval() time.Duration {
	h := cr.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	if cr.sentTokens == 0 {
		return max(minHedgeDelay, hedgeDelayFactor*h.Router.MedianTokenTime())
	}
	return max(minCheckInterval, stallFactor*h.Router.MedianTokenTime())
}

// checkProgress enforces the deadline for the first token, abandons a stalled
// attempt, and starts a speculative attempt beside a slow one.
func (cr *completionRun) checkProgress(ctx context.Context) error {
	now := time.Now()
	limit, isStalled := cr.stall(now)
	switch {
	case cr.sentTokens == 0 && now.After(cr.completion.deadline.Add(deadlineGrace)):
		cr.mayHaveRun = cr.mayHaveRun || cr.current.engineName() != ""
		return &Error{Op: "complete", Kind: DeadlineExceeded, Outcome: cr.outcome(), Reason: "no token came before the deadline", RetryAfter: noEngineRetryAfter}
	case cr.sentTokens > 0 && now.Sub(cr.lastToken) > max(stallTimeout, limit):
		cr.lastToken = now // restarts the stall timeout for the next attempt
		timeout := &engine.Error{Op: "read", Kind: engine.Failed, Engine: cr.current.engineName(), Err: errors.New("no token came")}
		_, err := cr.handle(ctx, event{err: timeout, mayHaveRun: true})
		return err
	}
	if cr.speculative != nil {
		return nil
	}
	if isStalled && now.Sub(cr.searchedAt) > limit && cr.attempts < maxAttempts-1 && cr.handler.spendRetry() {
		cr.searchedAt, cr.isRetry = now, true
		cr.startSpeculative(ctx, 0)
		return nil
	}
	if !cr.completion.hedge || now.Before(cr.nextSpeculative) {
		return nil
	}
	maxQueueWait, ok := cr.shouldSpeculate(now)
	if !ok {
		return nil
	}
	cr.hedged, cr.isRetry = true, false
	cr.nextSpeculative = now.Add(speculativeInterval)
	cr.startSpeculative(ctx, maxQueueWait)
	return nil
}

func (cr *completionRun) startSpeculative(ctx context.Context, maxQueueWait time.Duration) {
	cr.speculative = cr.startNext(ctx, attemptOptions{resumeTokens: cr.sentTokens, excludedEngine: cr.current.engineName(), speculative: true, maxQueueWait: maxQueueWait})
}

// shouldSpeculate reports whether to start a speculative attempt, and takes
// its cost from the hedge budget.
func (cr *completionRun) shouldSpeculate(now time.Time) (maxQueueWait time.Duration, ok bool) {
	h := cr.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	name := cr.current.engineName()
	if name == "" {
		return 0, false // no grant yet
	}
	if cr.sentTokens == 0 {
		return 0, h.Router.TryHedge()
	}
	gap := now.Sub(cr.lastToken)
	if h.Router.MedianTokenTime() > 0 && gap > stallFactor*h.Router.MedianTokenTime() {
		h.Router.ObserveTokenTime(now, name, gap)
	}
	gain := h.Router.MigrationGain(name, max(gap, cr.tokenGap), cr.completion.maxTokens-cr.sentTokens, migrationCostFactor*h.Router.MedianTokenTime())
	return gain / 2, gain > 0 && h.Router.TryHedge()
}
