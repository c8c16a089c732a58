package caller

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// noEngineRetry is the time to come back when no engine can be asked.
const noEngineRetry = time.Second

// askSlack is how long after the deadline an owner's refusal may arrive.
const askSlack = 500 * time.Millisecond

// movedPause is how long an entry node waits for a new owner to take over.
const movedPause = 100 * time.Millisecond

// acquire finds an engine that will run the request.
func (f *Handler) acquire(ctx context.Context, c completion, id string, p plan) (Grant, error) {
	a := Acquirer{Router: f.Router, Mu: &f.mu, RequestGrant: f.ask, SpendRetry: f.spendRetry}
	return a.Acquire(ctx, GrantRequest{
		Work: engine.Work{
			ID: id, Adapter: c.model.Name, EntryNode: f.NodeName, Short: c.short,
			ExpectedTokens: c.tokens - p.resume, PromptTokens: c.prompt, Deadline: c.deadline,
		},
		Engines: f.allowed(c, p), Speculative: p.spare, MaxQueueWait: p.maxWait,
	})
}

// allowed returns the engines that the attempt may use. One that failed the
// request before is left out unless it is the only one.
func (f *Handler) allowed(c completion, p plan) []string {
	all := f.Engines(c.model.BaseModel)
	if p.exclude == "" {
		return all
	}
	rest := make([]string, 0, len(all))
	for _, name := range all {
		if name != p.exclude {
			rest = append(rest, name)
		}
	}
	if len(rest) > 0 || p.spare {
		return rest
	}
	return all
}

// ask asks one engine's owner. Until the answer is dealt with, the registry
// expects the grant, so that an owner that takes over can bar it.
func (f *Handler) ask(ctx context.Context, name string, w engine.Work) (Grant, error) {
	f.Registry.Register(name, w.ID)
	g, err := f.Acquire(ctx, name, w)
	if err != nil {
		f.Registry.End(name, w.ID)
	}
	return g, err
}
