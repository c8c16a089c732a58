package caller

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Acquirer acquires grants from the owners of engines. Set the fields before
// the first use.
type Acquirer struct {
	// Router ranks the candidate engines. It is guarded by Mu.
	Router *engine.Router
	Mu     sync.Locker
	// RequestGrant requests a grant from an engine's owner. It blocks while
	// the request is queued there, and fails with a [Refusal].
	RequestGrant func(ctx context.Context, engineName string, w engine.Work) (Grant, error)
	// SpendRetry takes a retry from the budget. It returns false if the budget
	// is exhausted.
	SpendRetry func() bool
	// HasLoaded, which is optional, reports whether an engine is believed
	// to have an adapter loaded. If set, the acquirer uses the adapters' preferred
	// engines. If no engine that has it loaded has a reachable owner, the
	// request goes to one of them without a grant, so engines must reject
	// requests for adapters that are not loaded. Release must be set too.
	HasLoaded func(engineName, adapter string) bool
	// CanUse, which is optional, reports whether this node may send requests to an engine
	// now. It is asked again before each further try.
	CanUse func(engineName string) bool
	// Release returns a grant that was acquired only to load an adapter.
	Release func(g Grant)

	demand map[string]*demand // by adapter; guarded by Mu
	// holders are engines that have an adapter loaded by what their owners said; guarded by Mu.
	holders map[holderKey]time.Time
}

// GrantRequest describes the work that needs a grant.
type GrantRequest struct {
	Work    engine.Work // its ID is the prefix of the IDs sent to owners
	Engines []string    // candidate engines
	// PlacementKey selects the preferred engines by rendezvous hashing; it
	// defaults to the adapter.
	PlacementKey string
	// Speculative is set for an attempt that runs beside another one. It
	// neither waits in a queue nor tries again.
	Speculative bool
	// MaxQueueWait is the longest queue wait to accept before all candidates
	// have refused; zero means the router's default.
	MaxQueueWait time.Duration
}

// Acquire acquires a grant. It tries again until the deadline while the
// candidate engines are changing owners.
func (a *Acquirer) Acquire(ctx context.Context, req GrantRequest) (Grant, error) {
	id := req.Work.ID
	for round := 0; ; round++ {
		req.Work.ID = id + "r" + strconv.Itoa(round)
		g, err := a.acquireOnce(ctx, req)
		var r *Refusal
		if errors.As(err, &r) && r.Reason == engine.Limited && !req.Speculative {
			others := a.usable(req.Engines)
			if len(others) == 0 || len(others) == len(req.Engines) {
				return g, err
			}
			req.Engines = others
			continue
		}
		if req.Speculative || !errors.As(err, &r) || !a.shouldRetry(r.Reason) {
			return g, err
		}
		delay := ownerChangeDelay(round)
		if time.Now().Add(delay).After(req.Work.Deadline) {
			return Grant{}, r
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return Grant{}, r
		}
		if req.Engines = a.usable(req.Engines); len(req.Engines) == 0 {
			return Grant{}, r
		}
	}
}

// usable returns the engines that this node may send requests to now.
func (a *Acquirer) usable(engines []string) []string {
	if a.CanUse == nil {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(name string) bool { return !a.CanUse(name) })
}

func (a *Acquirer) acquireOnce(ctx context.Context, req GrantRequest) (Grant, error) {
	if a.HasLoaded != nil {
		return a.acquirePreferred(ctx, req)
	}
	return a.acquireRouted(ctx, req)
}

// shouldRetry reports whether the request should be tried again because the
// reason for its refusal is likely to clear soon. For a failed load, or an
// engine that this node did not know to be draining, it takes a retry from the
// budget.
func (a *Acquirer) shouldRetry(r engine.RefusalReason) bool {
	switch r {
	case engine.NoOwner, engine.Recovering:
		return true
	case engine.LoadFailed, engine.Draining:
		return a.SpendRetry()
	}
	return false
}

// acquireRouted requests a grant from the router's candidates in order, each
// with a limited queue wait. If all of them refuse, the request is queued at
// the engine with the shortest wait.
func (a *Acquirer) acquireRouted(ctx context.Context, req GrantRequest) (Grant, error) {
	w := req.Work
	a.Mu.Lock()
	names := a.Router.Candidates(time.Now(), w.Adapter, req.Engines, w.Short)
	a.Mu.Unlock()
	if len(names) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetryAfter}
	}
	search := &grantSearch{acquirer: a, work: w, maxQueueWait: a.maxQueueWait(req)}
	if g, err := search.tryInOrder(ctx, names); search.isDone(err) {
		return g, err
	}
	if req.Speculative || rank(search.bestRefusal.Reason) < rank(engine.Overflow) {
		return Grant{}, search.bestRefusal
	}
	if !search.sawCold {
		a.Mu.Lock()
		a.Router.RecordOverflow(time.Now(), w.Adapter)
		a.Mu.Unlock()
	}
	return search.waitInQueue(ctx)
}

// maxQueueWait returns the longest queue wait to accept before all candidates
// have refused.
func (a *Acquirer) maxQueueWait(req GrantRequest) time.Duration {
	return cmp.Or(req.MaxQueueWait, a.Router.MaxWait(req.Work.Short))
}

// requestGrant requests a grant from one owner and records the queue wait that
// it reports. The owner refuses work that it cannot start in time, so a
// response is not awaited for longer than refusalGrace after the deadline.
func (a *Acquirer) requestGrant(ctx context.Context, name string, w engine.Work) (Grant, error) {
	a.Mu.Lock()
	number := a.Router.CountRequest(name, w.MaxWait)
	a.Mu.Unlock()
	return a.requestCountedGrant(ctx, name, w, number)
}

// requestCountedGrant is like requestGrant for a request that the router has counted.
func (a *Acquirer) requestCountedGrant(ctx context.Context, name string, w engine.Work, number uint64) (Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline.Add(refusalGrace))
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
		if r != nil {
			a.Router.ObserveRefusal(name, number, r.Reason, wait)
		}
		a.Mu.Unlock()
	}
	return g, err
}

// isBetter reports whether a later grant is more likely after refusal a than
// after b. Engines that could run the request soon come first, then those that
// may after a change of owner or state; equal ones are ordered by queue wait.
func isBetter(a, b *Refusal) bool {
	if ra, rb := rank(a.Reason), rank(b.Reason); ra != rb {
		return ra > rb
	}
	return a.QueueWait < b.QueueWait
}

// rank returns the rank of a refusal reason for isBetter; higher is better.
func rank(r engine.RefusalReason) int {
	switch r {
	case engine.Overflow, engine.Cold, engine.Displaced:
		return 2
	case engine.NoOwner, engine.Recovering, engine.LoadFailed, engine.Draining:
		return 1
	}
	return 0
}

func grantRequestID(id string, i int) string { return id + string(rune('a'+i)) }
