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

// recordDemand counts a request. The returned function reports whether another
// copy may be loaded, and if so records the copy.
func (a *Acquirer) recordDemand(now time.Time, adapter string) (mayCopy func() bool) {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	if a.demand == nil || len(a.demand) > maxDemandEntries {
		a.demand = make(map[string]*demand)
	}
	d := a.demand[adapter]
	if d == nil {
		d = &demand{}
		a.demand[adapter] = d
	}
	frequent := d.requests.Add(now, demandHalfLife) >= minCopyDemand
	return func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		if !frequent || now.Sub(d.lastCopy) < minCopyInterval {
			return false
		}
		d.lastCopy = now
		return true
	}
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
// is needed there.
func (a *Acquirer) acquirePreferred(ctx context.Context, req GrantRequest) (Grant, error) {
	w := req.Work
	names := engine.Rendezvous(cmp.Or(req.PlacementKey, w.Adapter), req.Engines, nil, preferredEngines)
	if len(names) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetryAfter}
	}
	mayCopy := a.recordDemand(time.Now(), w.Adapter)
	loadedEngines, otherEngines := a.splitByAdapter(names, w.Adapter)
	a.sortByQueueWait(time.Now(), loadedEngines)
	search := &grantSearch{acquirer: a, work: w, maxQueueWait: a.maxQueueWait(req)}
	if g, err := search.tryInOrder(ctx, loadedEngines); search.isDone(err) {
		return g, err
	}
	if search.bestRefusal != nil && search.bestRefusal.Reason == engine.Overflow {
		if search.bestRefusal.QueueWait > minCopyWait && len(otherEngines) > 0 && mayCopy() {
			a.loadCopy(otherEngines[0], w)
		}
		return search.waitInQueue(ctx)
	}
	if search.bestRefusal != nil && hasNoOwner(search.bestRefusal.Reason) {
		return Grant{Engine: search.bestEngine}, nil
	}
	search.maxQueueWait = maxLoadWait
	if g, err := search.tryInOrder(ctx, names); search.isDone(err) {
		return g, err
	}
	if rank(search.bestRefusal.Reason) < rank(engine.Overflow) {
		return Grant{}, search.bestRefusal
	}
	return search.waitInQueue(ctx)
}

// splitByAdapter separates the engines that have loaded the adapter from the others.
func (a *Acquirer) splitByAdapter(names []string, adapter string) (loadedEngines, otherEngines []string) {
	for _, name := range names {
		if a.HasLoaded(name, adapter) {
			loadedEngines = append(loadedEngines, name)
		} else {
			otherEngines = append(otherEngines, name)
		}
	}
	return loadedEngines, otherEngines
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

// loadCopy makes another engine load an adapter when all engines that have it loaded are
// busy. The request itself waits at one of those, where it starts sooner.
func (a *Acquirer) loadCopy(name string, w engine.Work) {
	w.ID, w.MaxWait, w.ExpectedTokens, w.PromptTokens, w.Short = w.ID+"copy", 0, 1, 1, true
	w.Deadline = time.Now().Add(copyTimeout)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
		defer cancel()
		g, err := a.RequestGrant(ctx, name, w)
		if err == nil {
			a.Release(g)
		}
	}()
}
