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
	// homes is how many engines an adapter may be loaded on by default.
	homes = 3
	// coldWait is the longest wait for a load at an adapter's first home before
	// the next is asked. A load elsewhere comes from the store, while the home
	// may have held the adapter lately, so a wait of a few loads is worth it.
	coldWait = 1200 * time.Millisecond
	// copyWait is the wait at every holder from which one more copy is worth its
	// load.
	copyWait = 60 * time.Millisecond
	// copyPause is the time between two more copies of one adapter; a load
	// takes about as long.
	copyPause = 300 * time.Millisecond
	// copyTimeout bounds the load of a copy.
	copyTimeout = 2 * time.Second
	// copyDemand is how many requests for an adapter this node must have had
	// lately for a copy: a rare adapter waits for others' work, which a copy does
	// not change for long.
	copyDemand = 3
	// demandHalfLife is how long a request counts half.
	demandHalfLife = 2 * time.Second
	// demandKept bounds the adapters whose demand is remembered.
	demandKept = 4096
)

// demand is what a node remembers of the requests for one adapter.
type demand struct {
	requests engine.DecayingCounter
	copied   time.Time // when a copy was last asked for
}

// noteDemand counts a request. The function that it returns reports whether a
// further copy may be asked for, and counts that.
func (a *Acquirer) noteDemand(now time.Time, adapter string) (mayCopy func() bool) {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	if a.demand == nil || len(a.demand) > demandKept {
		a.demand = make(map[string]*demand)
	}
	d := a.demand[adapter]
	if d == nil {
		d = &demand{}
		a.demand[adapter] = d
	}
	hot := d.requests.Add(now, demandHalfLife) >= copyDemand
	return func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		if !hot || now.Sub(d.copied) < copyPause {
			return false
		}
		d.copied = now
		return true
	}
}

// tryHomes asks for engines where the node knows which hold the adapter. Every
// adapter has the same few homes on all nodes. The order is: a holder that can
// start soon; the holder with the shortest wait; the first home that can load
// it soon; the home with the shortest wait.
//
// Keeping to the homes answers loads of many rarely asked adapters: an engine
// loads what it held lately ten times as fast, and each further engine that
// loads an adapter evicts one that is needed there.
func (a *Acquirer) tryHomes(ctx context.Context, s GrantRequest) (Grant, error) {
	w := s.Work
	names := engine.Rendezvous(cmp.Or(s.PlacementKey, w.Adapter), s.Engines, nil, homes)
	if len(names) == 0 {
		return Grant{}, &Refusal{Reason: engine.NotLoaded, RetryAfter: noEngineRetry}
	}
	mayCopy := a.noteDemand(time.Now(), w.Adapter)
	holders, others := a.split(names, w.Adapter)
	a.leastWaitFirst(time.Now(), holders)
	t := &trial{a: a, work: w, maxWait: a.maxWait(s)}
	if g, err := t.ask(ctx, holders); t.done(err) {
		return g, err
	}
	if t.best != nil && t.best.Reason == engine.Overflow {
		if t.best.QueueWait > copyWait && len(others) > 0 && mayCopy() {
			a.copyTo(others[0], w)
		}
		return t.waitAtBest(ctx)
	}
	if t.best != nil && ownerless(t.best.Reason) {
		return Grant{Engine: t.name}, nil
	}
	t.maxWait = coldWait
	if g, err := t.ask(ctx, names); t.done(err) {
		return g, err
	}
	if hope(t.best.Reason) < hope(engine.Overflow) {
		return Grant{}, t.best
	}
	return t.waitAtBest(ctx)
}

// split tells the engines that hold the adapter from the others.
func (a *Acquirer) split(names []string, adapter string) (holders, others []string) {
	for _, name := range names {
		if a.HoldsAdapter(name, adapter) {
			holders = append(holders, name)
		} else {
			others = append(others, name)
		}
	}
	return holders, others
}

// leastWaitFirst sorts engines by the wait that their owners named last. Those
// that named none lately share the requests evenly.
func (a *Acquirer) leastWaitFirst(now time.Time, names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	a.Mu.Lock()
	defer a.Mu.Unlock()
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(a.Router.LastWait(now, x), a.Router.LastWait(now, y))
	})
}

// ownerless reports whether a refusal says that nobody can grant at present.
func ownerless(r engine.RefusalReason) bool { return r == engine.Moved || r == engine.Recovering }

// copyTo has one more engine load an adapter whose holders are all busy. The
// request itself waits at a holder, which is sooner.
func (a *Acquirer) copyTo(name string, w engine.Work) {
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
