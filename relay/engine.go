package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
)

// longPrompt is the prompt, in tokens, from which work counts as long: reading
// it holds up the others of its batch for many of their steps.
const longPrompt = 2048

// serveEngine gets a grant for an engine, sends the request there, and passes
// the stream on. A stream that breaks off goes on at another engine where the
// route allows it.
func (x *exchange) serveEngine(ctx context.Context) error {
	x.after = x.head.LastEventID
	excluded := ""
	runs := 0
	for sends := 1; ; sends++ {
		g, err := x.acquire(ctx, sends, excluded)
		if err != nil {
			return x.refused(ctx, err)
		}
		if x.ev.TimeToGrant == 0 {
			x.ev.TimeToGrant = time.Since(x.start)
		}
		res := x.tryEngine(ctx, g)
		if res.final {
			return res.err
		}
		if ctx.Err() != nil {
			return x.expired(ctx)
		}
		if !res.notRun {
			runs++
		}
		if !res.notRun || g.ID == "" {
			excluded = g.Engine // it failed, or does not hold what it was believed to
		}
		mayRun := res.notRun || x.route.Resumable && runs < x.route.MaxAttempts
		if sends >= maxSends || !mayRun || !x.mayRepeat() {
			return x.giveUpEngine(res)
		}
		x.again(ServerFailed, res.answer.Status, res.reason)
	}
}

func (x *exchange) acquire(ctx context.Context, n int, excluded string) (caller.Grant, error) {
	var names []string
	for _, s := range x.front.Servers().Pool(x.pool.Name) {
		if !s.Draining && s.ID != excluded {
			names = append(names, s.ID)
		}
	}
	return x.front.Acquire(ctx, names, engine.Work{
		ID: x.head.ID + "." + strconv.Itoa(n), Adapter: x.head.AdapterName(),
		Short:          x.head.PromptTokens < longPrompt,
		ExpectedTokens: x.head.OutputTokens(), PromptTokens: x.head.PromptTokens, Deadline: x.deadline,
		FirstTokenDeadline: x.start.Add(x.route.FirstEventTimeout()), FirstTokenTarget: x.start.Add(x.route.TargetLatency),
	})
}

// refused is the final answer when no engine takes the request.
func (x *exchange) refused(ctx context.Context, err error) error {
	const op = "acquire"
	var r *caller.Refusal
	if ctx.Err() != nil && x.r.Context().Err() != nil || !errors.As(err, &r) {
		return x.expired(ctx)
	}
	reason := "no engine takes it: " + string(r.Reason)
	switch {
	case x.begun:
		return &Error{Op: op, Kind: StreamCut, Reason: reason}
	case x.maybeRan:
		return &Error{Op: op, Kind: ServerFailed, Reason: reason}
	}
	return &Error{Op: op, Kind: Busy, Reason: reason, RetryAfter: max(r.RetryAfter, busyRetry)}
}

// tryEngine sends the request under a grant.
func (x *exchange) tryEngine(ctx context.Context, g caller.Grant) (res result) {
	missing := false
	var tokenTime time.Duration
	defer func() { x.front.Release(g, missing, tokenTime) }()
	s, ok := x.front.Servers().Server(g.Engine)
	if !ok {
		return result{notRun: true, reason: "the engine is gone"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, a, failed := x.sendFor(ctx, ServerRequest{
		Server: s, IsEngine: true, Priority: x.route.Priority, LastEventID: x.after,
		AdapterVersion: x.front.RequiredVersion(x.head.Model, x.head.Adapter),
	})
	if failed != nil {
		missing = a.Misdirected
		return *failed
	}
	defer resp.Body.Close()
	if a.Status != http.StatusOK || !a.Stream {
		return x.readAnswer(a, resp.Body)
	}
	perEvent, err := x.stream(a, resp.Body)
	tokenTime = perEvent / time.Duration(x.pool.Engine.TokensPerEvent)
	if err == nil {
		return result{final: true}
	}
	return result{failed: true, reason: err.Error()}
}

// giveUpEngine is the final answer after the last attempt.
func (x *exchange) giveUpEngine(res result) error {
	if x.begun {
		return &Error{Op: "stream", Kind: StreamCut, Reason: res.reason}
	}
	return x.giveUp(res)
}

// stream passes whole events on until the stream ends. It returns the mean
// time between events.
func (x *exchange) stream(a ResponseHead, body io.Reader) (perEvent time.Duration, err error) {
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
		if x.begun && !ev.follows(x.after) {
			continue // the caller has it already
		}
		now := time.Now()
		if n == 0 {
			first = now
		} else {
			x.ev.MaxEventGap = max(x.ev.MaxEventGap, now.Sub(last))
		}
		last = now
		n++
		if err := x.pass(a, ev); err != nil {
			return 0, err
		}
	}
	if !x.begun {
		x.begin(a)
	}
	if n > 1 {
		perEvent = last.Sub(first) / time.Duration(n-1)
	}
	return perEvent, nil
}

func (x *exchange) pass(a ResponseHead, ev streamEvent) error {
	if !x.begun {
		x.ev.TimeToFirstByte = time.Since(x.start)
		x.begin(a)
	}
	if _, err := x.w.Write(ev.raw); err != nil {
		return err
	}
	if ev.id != "" {
		x.after = ev.id
	}
	x.ev.EventsSent++
	return http.NewResponseController(x.w).Flush()
}
