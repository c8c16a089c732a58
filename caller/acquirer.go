package caller

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Acquirer finds an engine that will run a request, by asking the engines'
// owners. Set the fields before the first use.
type Acquirer struct {
	// Router orders the engines to ask; Mu guards it.
	Router *engine.Router
	Mu     sync.Locker
	// RequestGrant asks one engine's owner. It blocks while the request waits there, and
	// fails with a [Refusal].
	RequestGrant func(ctx context.Context, engineName string, w engine.Work) (Grant, error)
	// SpendRetry takes a retry from the budget, or reports that none is left.
	SpendRetry func() bool
	// HoldsAdapter, if set, reports whether an engine is believed to hold an adapter;
	// the search then goes by the adapters' homes. While an engine's owner does
	// not answer, a request goes to an engine that holds its adapter without a
	// grant, so the engine itself must refuse what it does not hold. Release must
	// be set too.
	HoldsAdapter func(engineName, adapter string) bool
	// Release gives a grant back that was only asked for to have an adapter
	// loaded.
	Release func(g Grant)

	demand map[string]*demand // by adapter; guarded by Mu
}

// GrantRequest says what is looked for.
type GrantRequest struct {
	Work    engine.Work // its ID is the prefix of the ids that owners see
	Engines []string    // the engines that may be asked
	// PlacementKey places the request among the engines; empty means the adapter.
	PlacementKey string
	// Speculative is set for a second attempt beside another, which is not worth
	// waiting for.
	Speculative bool
	// MaxQueueWait is the longest queue wait at the first choices; zero means the
	// router's.
	MaxQueueWait time.Duration
}

// Acquire finds an engine. While the engines that could run the request are
// changing their owners it tries again, up to the deadline.
func (a *Acquirer) Acquire(ctx context.Context, s GrantRequest) (Grant, error) {
	id := s.Work.ID
	for round := 0; ; round++ {
		s.Work.ID = id + "r" + strconv.Itoa(round)
		g, err := a.once(ctx, s)
		var r *Refusal
		if s.Speculative || !errors.As(err, &r) || !a.passing(r.Reason) {
			return g, err
		}
		if time.Now().Add(movedPause).After(s.Work.Deadline) {
			return Grant{}, r
		}
		select {
		case <-time.After(movedPause):
		case <-ctx.Done():
			return Grant{}, r
		}
	}
}

func (a *Acquirer) once(ctx context.Context, s GrantRequest) (Grant, error) {
	if a.HoldsAdapter != nil {
		return a.tryHomes(ctx, s)
	}
	return a.try(ctx, s)
}

// passing reports whether the cause of a refusal is likely to pass soon, so
// that the request should be tried again. A load that failed, or an engine that
// this node did not know to be draining, costs a retry.
func (a *Acquirer) passing(r engine.RefusalReason) bool {
	switch r {
	case engine.Moved, engine.Recovering:
		return true
	case engine.LoadFailed, engine.Draining:
		return a.SpendRetry()
	}
	return false
}

// try asks the adapter's choices in turn whether they can start soon; when
// none can, the request waits at the one that names the shortest wait.
func (a *Acquirer) try(ctx context.Context, s GrantRequest) (Grant, error) {
	w := s.Work
	a.Mu.Lock()
	names := a.Router.Candidates(time.Now(), w.Adapter, s.Engines, w.Short)
	a.Mu.Unlock()
	if len(names) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetry}
	}
	t := &trial{a: a, work: w, maxWait: a.maxWait(s)}
	if g, err := t.ask(ctx, names); t.done(err) {
		return g, err
	}
	if s.Speculative || hope(t.best.Reason) < hope(engine.Overflow) {
		return Grant{}, t.best
	}
	if !t.cold {
		a.Mu.Lock()
		a.Router.RecordOverflow(time.Now(), w.Adapter)
		a.Mu.Unlock()
	}
	return t.waitAtBest(ctx)
}

// maxWait returns the longest queue wait that the search accepts at its first
// choices.
func (a *Acquirer) maxWait(s GrantRequest) time.Duration {
	return cmp.Or(s.MaxQueueWait, a.Router.MaxWait(s.Work.Short))
}

// ask asks one owner and notes the wait that it names. The owner refuses what
// it cannot start in time; an answer that does not come shortly after the
// deadline never will.
func (a *Acquirer) ask(ctx context.Context, name string, w engine.Work) (Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline.Add(askSlack))
	defer cancel()
	g, err := a.RequestGrant(ctx, name, w)
	wait := g.QueueWait
	var r *Refusal
	if errors.As(err, &r) {
		wait = r.QueueWait
	}
	if err == nil || r != nil {
		a.Mu.Lock()
		a.Router.ObserveWait(time.Now(), name, wait)
		a.Mu.Unlock()
	}
	return g, err
}

// better prefers engines that could run the request soon, then those that may
// after a change of owner, then short waits.
func better(a, b *Refusal) bool {
	if ra, rb := hope(a.Reason), hope(b.Reason); ra != rb {
		return ra > rb
	}
	return a.QueueWait < b.QueueWait
}

func hope(r engine.RefusalReason) int {
	switch r {
	case engine.Overflow, engine.Cold:
		return 2
	case engine.Moved, engine.Recovering, engine.LoadFailed, engine.Draining:
		return 1
	}
	return 0
}

func attemptID(id string, i int) string { return id + string(rune('a'+i)) }
