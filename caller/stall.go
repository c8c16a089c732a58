package caller

import (
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

const (
	// paceFactor is how many times the usual time of its engine an attempt may go without
	// a token before another one is started beside it.
	paceFactor = 20
	// minStallTime is the shortest time without a token that is a stall.
	minStallTime = time.Second
)

// paceOf returns the pace of an engine.
func (h *Handler) paceOf(now time.Time, name string) *backend.Pace {
	return h.paces.Of(now, &backend.Server{ID: name})
}

// stall reports whether the current attempt has stalled: it has had no token for longer
// than the limit, which follows the pace of its engine. The limit is 0 if the pace is not
// known.
func (cr *completionRun) stall(now time.Time) (limit time.Duration, isStalled bool) {
	sentAt, name := cr.current.sentAt.Load(), cr.current.engineName()
	if sentAt == nil {
		return 0, false // it waits for a grant
	}
	isFirst, prompt := !cr.current.began, cr.completion.promptTokens
	usual, ok := cr.handler.paceOf(now, name).Time(isFirst, prompt)
	if !ok {
		var pool []*backend.Server
		for _, other := range cr.handler.Engines(cr.completion.model.BaseModel) {
			pool = append(pool, &backend.Server{ID: other})
		}
		usual, ok = cr.handler.paces.Slowest(pool, isFirst, prompt)
	}
	if !ok {
		return 0, false
	}
	limit = max(minStallTime, paceFactor*usual)
	since := cr.lastToken
	if sentAt.After(since) {
		since = *sentAt
	}
	return limit, now.Sub(since) > limit
}
