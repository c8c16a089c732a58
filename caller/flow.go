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
	maxAttempts    = 6
	minHedgeDelay  = 100 * time.Millisecond
	hedgeSteps     = 8                // hedge after this many median times between tokens
	stallSteps     = 5                // a gap of this many median times counts as an observation
	restartSteps   = 12               // what moving a stream costs, in median times between tokens
	stallTimeout   = 10 * time.Second // without a token, an attempt is given up
	startSlack     = time.Second      // after the deadline, for the owner's own refusal
	minCheckPeriod = 20 * time.Millisecond
	sparePause     = 300 * time.Millisecond // between second attempts of one request
)

// flow carries one completion from its first attempt to its answer. It runs
// at most two attempts at a time: the present one and a spare, which is either
// a hedge (nothing has come yet) or a move away from a slow engine.
type flow struct {
	front *Handler
	c     completion
	out   *sink
	start time.Time

	now        *attempt
	spare      *attempt
	tokens     int // tokens delivered
	lastToken  time.Time
	gap        time.Duration // moving average of the time between tokens
	firstToken time.Duration
	attempts   int
	hedged     bool
	nextSpare  time.Time // no second attempt before
	sent       bool      // some attempt may have reached an engine
}

func (fl *flow) run(ctx context.Context) error {
	fl.lastToken = fl.start
	fl.front.admit(fl.c.tokens)
	fl.now = fl.next(ctx, plan{})
	defer fl.stop()
	check := time.NewTimer(fl.checkPeriod())
	defer check.Stop()
	for {
		select {
		case ev := <-fl.now.events:
			done, err := fl.handle(ctx, ev)
			if done || err != nil {
				return err
			}
		case ev := <-fl.spareEvents():
			if err := fl.handleSpare(ev); err != nil {
				return err
			}
		case <-check.C:
			if err := fl.check(ctx); err != nil {
				return err
			}
			check.Reset(fl.checkPeriod())
		case <-ctx.Done():
			return &Error{Op: "complete", Kind: Incomplete, Outcome: fl.outcome(), Reason: "the caller went away", Err: ctx.Err()}
		}
	}
}

func (fl *flow) next(ctx context.Context, p plan) *attempt {
	fl.attempts++
	return fl.front.launch(ctx, fl.c, fl.c.id+"."+strconv.Itoa(fl.attempts), p)
}

func (fl *flow) stop() {
	fl.now.stop()
	if fl.spare != nil {
		fl.spare.stop()
	}
}

func (fl *flow) spareEvents() chan event {
	if fl.spare == nil {
		return nil
	}
	return fl.spare.events
}

func (fl *flow) outcome() Outcome {
	if fl.sent || fl.tokens > 0 {
		return Unknown
	}
	return NotRun
}

// handle deals with an event of the present attempt.
func (fl *flow) handle(ctx context.Context, ev event) (done bool, err error) {
	switch {
	case ev.isEnd():
		return true, fl.out.done()
	case ev.err == nil:
		return false, fl.deliver(ev)
	}
	fl.sent = fl.sent || ev.sent
	if fl.spare != nil {
		fl.promote()
		return false, nil
	}
	if err := fl.mayRetry(ev.err); err != nil {
		return false, err
	}
	fl.now.stop()
	fl.now = fl.next(ctx, plan{resume: fl.tokens, exclude: fl.excluded(ev)})
	return false, nil
}

// excluded returns the engine to avoid after a failure. An engine that merely
// lacked the adapter may be asked again.
func (fl *flow) excluded(ev event) string {
	if ev.sent {
		return fl.now.engineName()
	}
	return ""
}

func (fl *flow) promote() {
	fl.now.stop()
	fl.now, fl.spare, fl.gap = fl.spare, nil, 0
}

// mayRetry returns nil when another attempt is allowed, and otherwise the
// final answer.
func (fl *flow) mayRetry(cause error) error {
	var r *Refusal
	if errors.As(cause, &r) {
		return fl.refused(r)
	}
	if engine.IsKind(cause, engine.BadRequest) {
		return &Error{Op: "complete", Kind: BadRequest, Outcome: fl.outcome(), Reason: "the engine refuses the body", Err: cause}
	}
	var stale *peer.Error
	free := errors.As(cause, &stale) || engine.IsKind(cause, engine.AdapterMissing)
	if fl.attempts < maxAttempts && (free || fl.front.spendRetry()) {
		return nil
	}
	kind := EngineFailed
	if fl.tokens > 0 {
		kind = Incomplete
	}
	return &Error{Op: "complete", Kind: kind, Outcome: fl.outcome(), Reason: "the engine failed", RetryAfter: noEngineRetry, Err: cause}
}

func (fl *flow) refused(r *Refusal) error {
	kind := Busy
	switch r.Reason {
	case engine.TooLate:
		kind = DeadlineExceeded
	case engine.NotLoaded, engine.LoadFailed, engine.Recovering, engine.Draining, engine.Moved:
		kind = NoCapacity
	}
	if fl.tokens > 0 {
		kind = Incomplete
	}
	return &Error{
		Op: "complete", Kind: kind, Outcome: fl.outcome(),
		Reason: "no engine takes the request: " + string(r.Reason), RetryAfter: r.RetryAfter,
	}
}

// admit counts a request towards the budgets for retries and hedges.
func (f *Handler) admit(tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.Credit(1)
	f.Router.AddHedgeCredit(tokens)
}

func (f *Handler) refundHedge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Router.RefundHedge()
}

func (f *Handler) spendRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.TrySpend(1)
}

// deliver passes a chunk on unless the caller has its tokens already.
func (fl *flow) deliver(ev event) error {
	if ev.tokens <= fl.tokens && len(ev.chunk.Choices) > 0 && ev.chunk.Choices[0].FinishReason == nil {
		return nil
	}
	now := time.Now()
	if fl.tokens == 0 {
		fl.firstToken = now.Sub(fl.start)
	}
	if fl.tokens > 0 {
		fl.gap = (fl.gap + now.Sub(fl.lastToken)) / 2
	}
	fl.tokens, fl.lastToken = max(fl.tokens, ev.tokens), now
	if err := fl.out.chunk(ev.chunk); err != nil {
		return &Error{Op: "complete", Kind: Incomplete, Outcome: Unknown, Reason: "the caller went away", Err: err}
	}
	return nil
}

// handleSpare lets the spare take over as soon as it is ahead.
func (fl *flow) handleSpare(ev event) error {
	if ev.err != nil {
		fl.sent = fl.sent || ev.sent
		fl.spare.stop()
		fl.spare = nil
		if !ev.sent {
			fl.front.refundHedge()
		}
		return nil
	}
	if ev.tokens <= fl.tokens {
		return nil
	}
	fl.promote()
	return fl.deliver(ev)
}

func (fl *flow) checkPeriod() time.Duration {
	f := fl.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl.tokens == 0 {
		return max(minHedgeDelay, hedgeSteps*f.Router.MedianTokenTime())
	}
	return max(minCheckPeriod, stallSteps*f.Router.MedianTokenTime())
}

// check looks for a stalled or slow engine, and starts a spare attempt.
func (fl *flow) check(ctx context.Context) error {
	now := time.Now()
	switch {
	case fl.tokens == 0 && now.After(fl.c.deadline.Add(startSlack)):
		fl.sent = fl.sent || fl.now.engineName() != ""
		return &Error{Op: "complete", Kind: DeadlineExceeded, Outcome: fl.outcome(), Reason: "no token came before the deadline", RetryAfter: noEngineRetry}
	case fl.tokens > 0 && now.Sub(fl.lastToken) > stallTimeout:
		fl.lastToken = now // counts for the next attempt
		silent := &engine.Error{Op: "read", Kind: engine.Failed, Engine: fl.now.engineName(), Err: errors.New("no token came")}
		_, err := fl.handle(ctx, event{err: silent, sent: true})
		return err
	}
	if fl.spare != nil || !fl.c.hedge || now.Before(fl.nextSpare) {
		return nil
	}
	maxWait, ok := fl.worthSpare(now)
	if !ok {
		return nil
	}
	fl.hedged = true
	fl.nextSpare = now.Add(sparePause)
	fl.spare = fl.next(ctx, plan{resume: fl.tokens, exclude: fl.now.engineName(), spare: true, maxWait: maxWait})
	return nil
}

// worthSpare decides on a second attempt and pays for it.
func (fl *flow) worthSpare(now time.Time) (maxWait time.Duration, ok bool) {
	f := fl.front
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fl.now.engineName()
	if name == "" {
		return 0, false // still waiting for a grant
	}
	if fl.tokens == 0 {
		return 0, f.Router.TryHedge()
	}
	gap := now.Sub(fl.lastToken)
	if f.Router.MedianTokenTime() > 0 && gap > stallSteps*f.Router.MedianTokenTime() {
		f.Router.ObserveTokenTime(now, name, gap)
	}
	saved := f.Router.MigrationGain(name, max(gap, fl.gap), fl.c.tokens-fl.tokens, restartSteps*f.Router.MedianTokenTime())
	return saved / 2, saved > 0 && f.Router.TryHedge()
}
