package caller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	// preferredEngines is the number of engines on which an adapter may be
	// loaded.
	preferredEngines = 3
	// maxLoadWait is the longest wait for a load at an adapter's first
	// preferred engine before the next one is tried. The first engine may
	// still have the adapter cached, while another must load it from the
	// store, so waiting for a few loads pays off.
	maxLoadWait = 1200 * time.Millisecond
	// minCopyWait is the queue wait at every engine that has loaded an
	// adapter from which loading another copy pays off.
	minCopyWait = 60 * time.Millisecond
	// minCopyInterval is the shortest time between two copies of an adapter.
	// It is about the time of a load.
	minCopyInterval = 300 * time.Millisecond
	// copyTimeout limits the load of a copy.
	copyTimeout = 2 * time.Second
	// minCopyDemand is the number of recent requests for an adapter on this
	// node from which it may be copied. A rarely used adapter waits for work
	// on other adapters, and a copy shortens that wait only briefly.
	minCopyDemand = 3
	// demandHalfLife is the time after which a request counts half.
	demandHalfLife = 2 * time.Second
	// maxDemandEntries limits the adapters whose demand is recorded.
	maxDemandEntries = 4096
)

// demand records the recent requests for one adapter.
type demand struct {
	requests engine.DecayingCounter
	lastCopy time.Time // when a copy was last requested
}

// recordDemand counts a request, and reports whether this node has many for the adapter.
func (a *Acquirer) recordDemand(now time.Time, adapter string) (isFrequent bool) {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	return a.demandFor(adapter).requests.Add(now, demandHalfLife) >= minCopyDemand
}

// tryBeginCopy reports whether copies of the adapter may be loaded now, and if so records that.
func (a *Acquirer) tryBeginCopy(now time.Time, adapter string) bool {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	d := a.demandFor(adapter)
	if now.Sub(d.lastCopy) < minCopyInterval {
		return false
	}
	d.lastCopy = now
	return true
}

// demandFor returns the demand for an adapter. a.Mu must be held.
func (a *Acquirer) demandFor(adapter string) *demand {
	d := a.demand[adapter]
	if d != nil {
		return d
	}
	if a.demand == nil || len(a.demand) > maxDemandEntries {
		a.demand = make(map[string]*demand)
	}
	d = &demand{}
	a.demand[adapter] = d
	return d
}

// acquirePreferred acquires a grant from the adapter's preferred engines,
// which are the same on all nodes. It tries in order: an engine that has the
// adapter loaded and can start soon; of the engines that have it loaded, the one
// with the shortest queue; the first preferred engine that can load it soon; the
// preferred engine with the shortest queue.
//
// Limiting each adapter to a few engines saves loads when there are many
// rarely used adapters. An engine loads an adapter that it had recently ten
// times as fast, and each further engine that loads it evicts an adapter that
// is needed there. In a large pool an adapter in demand gets further copies, in an
// order that is the same on all nodes, while all engines that have it loaded are busy.
func (a *Acquirer) acquirePreferred(ctx context.Context, req GrantRequest) (Grant, error) {
	w := req.Work
	ranked := engine.Rendezvous(cmp.Or(req.PlacementKey, w.Adapter), req.Engines, nil, maxEngines(len(req.Engines)))
	if len(ranked) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetryAfter}
	}
	now := time.Now()
	isFrequent := a.recordDemand(now, w.Adapter)
	p := a.placementOf(now, ranked, w.Adapter)
	a.sortByQueueWait(now, p.holders)
	search := &grantSearch{acquirer: a, work: w, maxQueueWait: a.maxQueueWait(req), learnsHolders: p.mayExceed}
	if g, err := search.tryInOrder(ctx, p.holders[:min(maxHolders, len(p.holders))]); search.isDone(err) {
		return g, err
	}
	if r := search.bestRefusal; r != nil && (r.Reason == engine.Overflow || p.mayExceed && r.Reason == engine.DeadlineUnmet) {
		a.loadCopies(p.targets, p.copiesFor(r, isFrequent), w)
	}
	if search.bestRefusal != nil && search.bestRefusal.Reason == engine.Overflow {
		return search.waitInQueue(ctx)
	}
	if search.bestRefusal != nil && hasNoOwner(search.bestRefusal.Reason) {
		return Grant{Engine: search.bestEngine}, nil
	}
	search.maxQueueWait = maxLoadWait
	if g, err := search.tryInOrder(ctx, p.further(search.bestRefusal)); search.isDone(err) {
		return g, err
	}
	if rank(search.bestRefusal.Reason) < rank(engine.Overflow) {
		return Grant{}, search.bestRefusal
	}
	return search.waitInQueue(ctx)
}

// sortByQueueWait sorts engines by the queue wait that their owners last
// reported. Engines without a recent report are shuffled, so that they share
// the requests evenly.
func (a *Acquirer) sortByQueueWait(now time.Time, names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	a.Mu.Lock()
	defer a.Mu.Unlock()
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(a.Router.LastWait(now, x), a.Router.LastWait(now, y))
	})
}

// hasNoOwner reports whether a refusal means that no owner can grant requests
// at present.
func hasNoOwner(r engine.RefusalReason) bool { return r == engine.NoOwner || r == engine.Recovering }

// loadCopies makes further engines load an adapter, unless this node has done so just now.
func (a *Acquirer) loadCopies(targets []string, n int, w engine.Work) {
	if n = min(n, len(targets)); n == 0 || !a.tryBeginCopy(time.Now(), w.Adapter) {
		return
	}
	for _, name := range targets[:n] {
		a.loadCopy(name, w)
	}
}

// loadCopy makes another engine load an adapter when all engines that have it loaded are
// busy. The request itself waits at one of those, where it starts sooner.
func (a *Acquirer) loadCopy(name string, w engine.Work) {
	w.ID, w.MaxWait, w.ExpectedTokens, w.PromptTokens, w.Short = w.ID+"copy", 0, 1, 1, true
	w.Deadline, w.Stream = time.Now().Add(copyTimeout), "" // no stream begins there
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
		defer cancel()
		g, err := a.RequestGrant(ctx, name, w)
		if err == nil {
			a.recordHolder(time.Now(), name, w.Adapter)
			a.Release(g)
		}
	}()
}
