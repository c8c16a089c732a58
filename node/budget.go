package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// budgetKey is hashed to choose the coordinator of the load budget.
const budgetKey = "load-budget"

const (
	budgetPollInterval = 20 * time.Millisecond
	acquireLoadTimeout = 5 * time.Second
)

// loadBudget limits the adapter loads from the weight store across all nodes. Every
// node holds one; the coordinator, chosen by rendezvous hashing, grants the loads of
// all nodes.
type loadBudget struct {
	n *Node

	mu      sync.Mutex
	budget  engine.LoadBudget
	granted map[string]bool // IDs of granted loads that acquireLocal has not returned yet
}

func newLoadBudget(n *Node) *loadBudget {
	return &loadBudget{n: n, granted: make(map[string]bool)}
}

// acquire waits for a load from the budget. The returned function gives it back, after
// the load was carried out or when it is no longer needed. While the coordinator is
// unreachable, this node grants itself loads at its share of the rate.
func (l *loadBudget) acquire(ctx context.Context, id string, demand int) (release func(used bool)) {
	coordinator, ok := l.n.members.get(l.n.members.preferredOwner(budgetKey, ""))
	if ok && coordinator.Process != l.n.process {
		if release, ok := l.acquireRemote(ctx, coordinator, id, demand); ok {
			return release
		}
	}
	l.acquireLocal(ctx, id, demand)
	return func(used bool) { l.release(id, used) }
}

func (l *loadBudget) acquireRemote(ctx context.Context, coordinator member, id string, demand int) (release func(used bool), ok bool) {
	client, callCtx, cancel, ok := l.n.members.beginCall(ctx, coordinator.Address)
	if !ok {
		return nil, false
	}
	defer cancel()
	callCtx, cancelCall := context.WithTimeout(callCtx, acquireLoadTimeout)
	defer cancelCall()
	_, err := client.AcquireLoad(callCtx, connect.NewRequest(&peerpb.AcquireLoadRequest{Id: id, Demand: int32(demand)}))
	if err != nil {
		return nil, false
	}
	return func(used bool) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
		defer cancel()
		// If the response is lost, the budget reclaims the load by itself.
		_, _ = client.ReleaseLoad(ctx, connect.NewRequest(&peerpb.ReleaseLoadRequest{Id: id, Unused: !used}))
	}, true
}

// acquireLocal waits for a load from this node's own budget, until ctx ends.
func (l *loadBudget) acquireLocal(ctx context.Context, id string, demand int) {
	l.mu.Lock()
	l.budget.Request(time.Now(), engine.LoadRequest{ID: id, Demand: demand})
	l.mu.Unlock()
	for !l.tryAcquire(id) {
		select {
		case <-time.After(budgetPollInterval):
		case <-ctx.Done():
			l.mu.Lock()
			l.budget.Cancel(id)
			delete(l.granted, id)
			l.mu.Unlock()
			return
		}
	}
}

// tryAcquire records the loads that the budget grants now, and reports whether the load
// with the given ID has been granted.
func (l *loadBudget) tryAcquire(id string) bool {
	rate, parallel := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Rate, l.budget.Parallel = rate, parallel
	for {
		next, ok, _ := l.budget.Next(time.Now())
		if !ok {
			break
		}
		l.granted[next] = true
	}
	ok := l.granted[id]
	delete(l.granted, id)
	return ok
}

// limits returns the whole budget on the coordinator, and this node's share of it on
// any other node.
func (l *loadBudget) limits() (rate float64, parallel int) {
	root, _ := l.n.store.Tree().Branch("/")
	if l.n.members.preferredOwner(budgetKey, "") == l.n.cfg.Name {
		return root.LoadRate, root.LoadParallel
	}
	return root.LoadRate / float64(max(1, len(l.n.members.all()))), 1
}

func (l *loadBudget) release(id string, used bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !used {
		l.budget.Refund(id)
		return
	}
	l.budget.Finish(id)
}
