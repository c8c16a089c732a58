package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// budgetKey is hashed to choose the node that shares out the load budget.
const budgetKey = "load-budget"

const (
	budgetPoll    = 20 * time.Millisecond
	budgetTimeout = 5 * time.Second
)

// loadBudget shares out the weight store's loads. Every node holds one; the
// node that rendezvous hashing picks is asked by the others.
type loadBudget struct {
	n *Node

	mu      sync.Mutex
	budget  engine.LoadBudget
	granted map[string]bool
}

func newLoadBudget(n *Node) *loadBudget {
	return &loadBudget{n: n, granted: make(map[string]bool)}
}

// acquire waits for a load from the budget, and returns the function that gives
// it back when it was used or is not wanted any more. Out of reach of the node
// that shares it out, this node gives itself its part of the rate.
func (l *loadBudget) acquire(ctx context.Context, id string, demand int) (giveBack func(used bool)) {
	host, ok := l.n.members.get(l.n.members.wantedOwner(budgetKey, ""))
	if ok && host.Process != l.n.process {
		if giveBack, ok := l.acquireFrom(ctx, host, id, demand); ok {
			return giveBack
		}
	}
	l.acquireLocal(ctx, id, demand)
	return func(used bool) { l.release(id, used) }
}

func (l *loadBudget) acquireFrom(ctx context.Context, host member, id string, demand int) (giveBack func(used bool), ok bool) {
	client, rctx, cancel, ok := l.n.members.reachable(ctx, host.Address)
	if !ok {
		return nil, false
	}
	defer cancel()
	rctx, stop := context.WithTimeout(rctx, budgetTimeout)
	defer stop()
	_, err := client.AcquireLoad(rctx, connect.NewRequest(&peerpb.AcquireLoadRequest{Id: id, Demand: int32(demand)}))
	if err != nil {
		return nil, false
	}
	return func(used bool) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoverTimeout)
		defer cancel()
		// If the answer is lost, the budget takes the load back by itself.
		_, _ = client.ReleaseLoad(ctx, connect.NewRequest(&peerpb.ReleaseLoadRequest{Id: id, Unused: !used}))
	}, true
}

// acquireLocal waits for a load from this node's own budget.
func (l *loadBudget) acquireLocal(ctx context.Context, id string, demand int) {
	l.mu.Lock()
	l.budget.Request(time.Now(), engine.LoadRequest{ID: id, Demand: demand})
	l.mu.Unlock()
	for !l.poll(id) {
		select {
		case <-time.After(budgetPoll):
		case <-ctx.Done():
			l.mu.Lock()
			l.budget.Cancel(id)
			delete(l.granted, id)
			l.mu.Unlock()
			return
		}
	}
}

func (l *loadBudget) poll(id string) bool {
	rate, parallel := l.share()
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

// share returns the whole budget on the node that shares it out, and this
// node's part of it on any other.
func (l *loadBudget) share() (rate float64, parallel int) {
	root, _ := l.n.store.Tree().Branch("/")
	if l.n.members.wantedOwner(budgetKey, "") == l.n.cfg.Name {
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
