package relay

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

// The reasons of an [Error] for a request that may not be sent.
const (
	promptCrashes  = "prompts with some of its parts crash engines"
	requestCrashes = "it crashes the servers that run it"
)

// admit rejects a new request that may not be sent, by its prompt or by itself.
func (x *exchange) admit() error {
	now := time.Now()
	if q := x.handler.Prompts; q != nil {
		left, trial := q.Admit(now, x.head.PromptParts)
		x.trial = trial
		if left > 0 {
			return x.promptError(left)
		}
	}
	if q := x.handler.Requests; q != nil && !q.IsEmpty() {
		left, trial := q.Admit(now, x.fingerprint())
		x.trial = x.trial || trial
		return x.requestError(left)
	}
	return nil
}

// checkQuarantine fails if the request may not be sent any more.
func (x *exchange) checkQuarantine() error {
	if x.trial {
		return nil
	}
	now := time.Now()
	if q := x.handler.Prompts; q != nil {
		if left := q.Left(now, x.head.PromptParts); left > 0 {
			return x.promptError(left)
		}
	}
	if q := x.handler.Requests; q != nil && !q.IsEmpty() {
		return x.requestError(q.Left(now, x.fingerprint()))
	}
	return nil
}

func (x *exchange) promptError(left time.Duration) error {
	return x.quarantineError(PromptQuarantined, promptCrashes, left)
}

// requestError returns nil if nothing of the quarantine is left.
func (x *exchange) requestError(left time.Duration) error {
	if left == 0 {
		return nil
	}
	return x.quarantineError(RequestQuarantined, requestCrashes, left)
}

func (x *exchange) quarantineError(kind ErrorKind, reason string, left time.Duration) error {
	return x.rejection("check quarantine", kind, reason, min(left, time.Until(x.deadline)))
}

// observeAttempt records what an attempt tells of its request: a crash if the server broke it
// off, unless the caller or the deadline ended it, or that a server ran it to its end.
func (x *exchange) observeAttempt(ctx context.Context, s *backend.Server, inFlight time.Duration, res result) {
	switch {
	case res.brokenOff && ctx.Err() == nil:
		x.observeCrash(s, inFlight)
	case res.isComplete() && x.handler.Requests != nil && !x.handler.Requests.IsEmpty():
		x.handler.Requests.ObserveResponse(time.Now(), x.fingerprint())
	}
}

func (x *exchange) observeCrash(s *backend.Server, inFlight time.Duration) {
	now := time.Now()
	if q := x.handler.Requests; q != nil {
		f := x.fingerprint()
		begun := q.ObserveCrash(now, backend.RequestCrash{Fingerprint: f, Incarnation: s.Incarnation(), InFlight: inFlight, Events: x.attemptEvents})
		if begun && x.handler.OnRequestQuarantine != nil {
			x.handler.OnRequestQuarantine(f)
		}
	}
	if x.handler.Prompts == nil || x.responseBegan {
		return
	}
	parts := x.handler.Prompts.ObserveCrash(now, backend.PromptCrash{
		Incarnation: s.Incarnation(), RequestID: x.head.ID, Parts: x.head.PromptParts, InFlight: inFlight,
	})
	if parts != "" && x.handler.OnQuarantine != nil {
		x.handler.OnQuarantine(parts)
	}
}

// beginAttempt forgets what the last attempt received.
func (x *exchange) beginAttempt() { x.responseBegan, x.attemptEvents = false, 0 }

// observeResponse records that the response of an attempt has begun: its first event has
// arrived, or another success in whole or as far as it is buffered.
func (x *exchange) observeResponse() {
	if x.responseBegan {
		return
	}
	x.responseBegan = true
	if x.handler.Prompts == nil {
		return
	}
	x.handler.Prompts.ObserveResponse(time.Now(), x.head.PromptParts)
}
