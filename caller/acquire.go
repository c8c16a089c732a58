package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// noEngineRetry is the time to come back when no engine can be asked.
const noEngineRetry = time.Second

// askSlack is how long after the deadline an owner's refusal may arrive.
const askSlack = 500 * time.Millisecond

// movedPause is how long an entry node waits for a new owner to take over.
const movedPause = 100 * time.Millisecond

// acquire finds an engine that will run the request. While the engines that
// could are changing their owners it tries again, up to the deadline.
func (f *Front) acquire(ctx context.Context, c completion, id string, p plan) (Grant, error) {
	for round := 0; ; round++ {
		g, err := f.tryAcquire(ctx, c, id+"r"+strconv.Itoa(round), p)
		var r *Refusal
		if p.spare || !errors.As(err, &r) || !f.passing(r.Reason) {
			return g, err
		}
		if time.Now().Add(movedPause).After(c.deadline) {
			return Grant{}, r
		}
		select {
		case <-time.After(movedPause):
		case <-ctx.Done():
			return Grant{}, r
		}
	}
}

// passing reports whether the cause of a refusal is likely to pass soon, so
// that the request should be tried again. A load that failed, or an engine that
// this node did not know to be draining, costs a retry.
func (f *Front) passing(r engine.Reason) bool {
	switch r {
	case engine.Moved, engine.Recovering:
		return true
	case engine.LoadFailed, engine.Draining:
		return f.spendRetry()
	}
	return false
}

// tryAcquire asks the adapter's choices in turn whether they can start soon;
// when none can, the request waits at the one that names the shortest wait.
func (f *Front) tryAcquire(ctx context.Context, c completion, id string, p plan) (Grant, error) {
	names := f.candidates(c, p)
	if len(names) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetry}
	}
	w := engine.Work{
		Adapter: c.model.Name, Entry: f.Node, Short: c.short,
		Tokens: c.tokens - p.resume, Prompt: c.prompt, Deadline: c.deadline, MaxWait: f.Router.MaxWait(c.short),
	}
	if p.maxWait > 0 {
		w.MaxWait = p.maxWait
	}
	var best *Refusal
	bestName, cold := "", false
	for i, name := range names {
		g, err := f.ask(ctx, name, attemptID(id, i), w)
		if err == nil {
			return g, nil
		}
		var r *Refusal
		if !errors.As(err, &r) {
			return Grant{}, err
		}
		cold = cold || r.Reason == engine.Cold
		if bestName == "" || better(r, best) {
			best, bestName = r, name
		}
	}
	if p.spare || hope(best.Reason) < hope(engine.Overflow) {
		return Grant{}, best
	}
	if !cold {
		f.mu.Lock()
		f.Router.Overflowed(time.Now(), c.model.Name)
		f.mu.Unlock()
	}
	w.MaxWait = 0
	return f.ask(ctx, bestName, id+"w", w)
}

// better prefers engines that could run the request soon, then those that may
// after a change of owner, then short waits.
func better(a, b *Refusal) bool {
	if ra, rb := hope(a.Reason), hope(b.Reason); ra != rb {
		return ra > rb
	}
	return a.Wait < b.Wait
}

func hope(r engine.Reason) int {
	switch r {
	case engine.Overflow, engine.Cold:
		return 2
	case engine.Moved, engine.Recovering, engine.LoadFailed, engine.Draining:
		return 1
	}
	return 0
}

func attemptID(id string, i int) string { return id + string(rune('a'+i)) }

func (f *Front) candidates(c completion, p plan) []string {
	all := f.Engines(c.model.Base)
	if p.exclude != "" {
		rest := make([]string, 0, len(all))
		for _, name := range all {
			if name != p.exclude {
				rest = append(rest, name)
			}
		}
		if len(rest) > 0 || p.spare {
			all = rest
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Router.Candidates(time.Now(), c.model.Name, all, c.short)
}

// ask asks one engine's owner. Until the answer is dealt with, the registry
// expects the grant, so that an owner that takes over can bar it.
func (f *Front) ask(ctx context.Context, name, id string, w engine.Work) (Grant, error) {
	w.ID = id
	f.Registry.Expect(name, id)
	// The owner refuses what it cannot start in time; an answer that does not
	// come shortly after the deadline never will.
	ctx, cancel := context.WithDeadline(ctx, w.Deadline.Add(askSlack))
	defer cancel()
	g, err := f.Acquire(ctx, name, w)
	if err != nil {
		f.Registry.End(name, id)
	}
	var r *Refusal
	if errors.As(err, &r) {
		f.mu.Lock()
		f.Router.ObserveWait(time.Now(), name, r.Wait)
		f.mu.Unlock()
	}
	return g, err
}
