package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
)

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, id string, tree *settings.Tree, branch *settings.Effective) error {
	start := time.Now()
	body, err := h.readBody(w, r, branch.MaxBodyBytes)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body, r.URL.Path, tree, branch)
	if err != nil {
		return err
	}
	c.id = id
	c.deadline = start.Add(branch.Deadline)
	if err := c.applyHeaders(r.Header, start); err != nil {
		return err
	}
	c.tokenTimeout = c.deadline.Sub(start)
	rw := newRespWriter(w, c)
	run := &completionRun{handler: h, completion: c, writer: rw, start: start}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.active.Ending(), cancel)()
	err = run.run(ctx)
	h.observe(run, err)
	if err != nil && rw.headerWritten {
		return rw.abort(err)
	}
	return err
}

// applyHeaders applies the class and deadline set by request headers. They can
// only be stricter than the branch's.
func (c *completion) applyHeaders(h http.Header, now time.Time) error {
	if v := h.Get(HeaderClass); v != "" {
		if v != "short" && v != "long" {
			return notRunError("parse", BadRequest, HeaderClass+" must be short or long")
		}
		c.short = c.short && v == "short"
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 {
			return notRunError("parse", BadRequest, HeaderDeadline+" must be a number of milliseconds above 0")
		}
		if d := now.Add(time.Duration(ms) * time.Millisecond); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	return nil
}

func (h *Handler) observe(run *completionRun, err error) {
	if h.Observe == nil {
		return
	}
	ev := Event{
		Class: "long", Outcome: Ran, TimeToFirstToken: run.timeToFirstToken, Duration: time.Since(run.start),
		Tokens: run.sentTokens, Attempts: run.attempts, Hedged: run.hedged,
	}
	if run.completion.short {
		ev.Class = "short"
	}
	if run.sentTokens > 1 {
		ev.TimePerToken = (ev.Duration - run.timeToFirstToken) / time.Duration(run.sentTokens-1)
	}
	if e, ok := err.(*Error); ok {
		ev.Outcome, ev.Kind = e.Outcome, e.Kind
	}
	h.Observe(ev)
}
