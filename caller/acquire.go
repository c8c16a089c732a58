package caller

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// noEngineRetryAfter is the Retry-After when no engine can take the request.
const noEngineRetryAfter = time.Second

// refusalGrace is how long after the request's deadline an owner's refusal may
// still arrive.
const refusalGrace = 500 * time.Millisecond

const (
	// OwnerChangeDelay is the delay before the second and the third attempt while a new owner takes
	// over an engine. Further delays double, up to maxOwnerChangeDelay.
	OwnerChangeDelay    = 100 * time.Millisecond
	maxOwnerChangeDelay = 400 * time.Millisecond
)

// ownerChangeDelay returns the delay after an attempt, counted from 0. All requests for the engine
// wait meanwhile, and each attempt takes processor time of several owners.
func ownerChangeDelay(attempt int) time.Duration {
	d := OwnerChangeDelay
	for i := 1; i < attempt && d < maxOwnerChangeDelay; i++ {
		d *= 2
	}
	return d
}

// acquireGrant acquires a grant for an engine that will run the request.
func (h *Handler) acquireGrant(ctx context.Context, c completion, id string, opts attemptOptions) (Grant, error) {
	deadline := c.deadline
	if opts.resumeTokens > 0 {
		deadline = time.Now().Add(c.tokenTimeout)
	}
	acquirer := Acquirer{Router: h.Router, Mu: &h.mu, RequestGrant: h.registerAndRequest, SpendRetry: h.spendRetry}
	return acquirer.Acquire(ctx, GrantRequest{
		Work: engine.Work{
			ID: id, Adapter: c.model.Name, EntryNode: h.NodeName, Short: c.short,
			ExpectedTokens: c.maxTokens - opts.resumeTokens, PromptTokens: c.promptTokens, Deadline: deadline,
		},
		Engines: h.candidateEngines(c, opts), Speculative: opts.speculative, MaxQueueWait: opts.maxQueueWait,
	})
}

// candidateEngines returns the engines that the attempt may use. An engine
// that failed the request before is excluded, unless it is the only one and the
// attempt is not speculative.
func (h *Handler) candidateEngines(c completion, opts attemptOptions) []string {
	all := h.Engines(c.model.BaseModel)
	if opts.excludedEngine == "" {
		return all
	}
	others := make([]string, 0, len(all))
	for _, name := range all {
		if name != opts.excludedEngine {
			others = append(others, name)
		}
	}
	if len(others) > 0 || opts.speculative {
		return others
	}
	return all
}

// registerAndRequest requests a grant from one engine's owner. It registers the
// request first, so that a new owner can fence its grant.
func (h *Handler) registerAndRequest(ctx context.Context, name string, w engine.Work) (Grant, error) {
	h.Registry.Register(name, w.ID)
	g, err := h.RequestGrant(ctx, name, w)
	if err != nil {
		h.Registry.End(name, w.ID)
	}
	return g, err
}
