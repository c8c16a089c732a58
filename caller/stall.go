package caller

import (
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

// minStallTime is the shortest time without a token that is a stall: another attempt is then
// started beside it.
const minStallTime = time.Second

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
	pool := func() (list []*backend.Server) {
		for _, other := range cr.handler.Engines(cr.completion.model.BaseModel) {
			list = append(list, &backend.Server{ID: other})
		}
		return list
	}
	usual, ok := cr.handler.paces.UsualTime(cr.handler.paceOf(now, name), pool, !cr.current.began, cr.completion.promptTokens)
	if !ok {
		return 0, false
	}
	limit = max(minStallTime, backend.StallFactor*usual)
	since := cr.lastToken
	if sentAt.After(since) {
		since = *sentAt
	}
	return limit, now.Sub(since) > limit
}
