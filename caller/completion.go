package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
)

func (f *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, id string, tree *settings.Tree, branch *settings.Effective) error {
	start := time.Now()
	body, err := readBody(r, branch.MaxBodyBytes)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body, r.URL.Path, tree, branch)
	if err != nil {
		return err
	}
	c.id = id
	c.deadline = start.Add(branch.Deadline)
	if err := c.override(r.Header, start); err != nil {
		return err
	}
	out := newSink(w, c)
	fl := &flow{front: f, c: c, out: out, start: start}
	err = fl.run(r.Context())
	f.report(fl, err)
	if err != nil && out.begun {
		return out.abort(err)
	}
	return err
}

// override applies the request's own class and deadline, which may only be
// stricter than the branch's.
func (c *completion) override(h http.Header, now time.Time) error {
	if v := h.Get(HeaderClass); v != "" {
		if v != "short" && v != "long" {
			return refusal("parse", BadRequest, HeaderClass+" must be short or long")
		}
		c.short = c.short && v == "short"
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 {
			return refusal("parse", BadRequest, HeaderDeadline+" must be a number of milliseconds above 0")
		}
		if d := now.Add(time.Duration(ms) * time.Millisecond); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	return nil
}

func (f *Handler) report(fl *flow, err error) {
	if f.Observe == nil {
		return
	}
	ev := Event{
		Class: "long", Outcome: Ran, TimeToFirstToken: fl.firstToken, Duration: time.Since(fl.start),
		Tokens: fl.tokens, Attempts: fl.attempts, Hedged: fl.hedged,
	}
	if fl.c.short {
		ev.Class = "short"
	}
	if fl.tokens > 1 {
		ev.TimePerToken = (ev.Duration - fl.firstToken) / time.Duration(fl.tokens-1)
	}
	if e, ok := err.(*Error); ok {
		ev.Outcome, ev.Kind = e.Outcome, e.Kind
	}
	f.Observe(ev)
}
