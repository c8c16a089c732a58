package caller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	// maxQueueTries limits how often a request chooses another queue because
	// its own has grown, before it accepts any wait. Each try costs a message
	// to an owner.
	maxQueueTries = 4
	// waitToleranceDivisor is the inverse of the part of the shortest queue
	// wait by which other waits may exceed it and still count as equal.
	// Reported waits are estimates with errors of up to half, so differences
	// of a quarter are not significant.
	waitToleranceDivisor = 4
)

// grantSearch is the state of one search for a grant.
type grantSearch struct {
	acquirer     *Acquirer
	work         engine.Work
	maxQueueWait time.Duration
	requests     int
	bestRefusal  *Refusal            // the best refusal of tryInOrder
	bestEngine   string              // the engine of bestRefusal
	refusals     map[string]*Refusal // the last refusal of each engine
	// learnsHolders is set if the search records which engines have the adapter loaded.
	learnsHolders bool
	sawCold       bool // an engine refused because it must load the adapter first
}

var errNoGrant = errors.New("no engine granted the request")

// isDone reports whether the search has ended, with a grant or with an error
// other than a refusal.
func (s *grantSearch) isDone(err error) bool { return !errors.Is(err, errNoGrant) }

// tryInOrder requests a grant from engines in turn, each with a limited queue
// wait.
func (s *grantSearch) tryInOrder(ctx context.Context, names []string) (Grant, error) {
	for _, name := range names {
		g, err := s.requestGrant(ctx, name, s.maxQueueWait)
		var r *Refusal
		if !errors.As(err, &r) {
			return g, err
		}
		s.sawCold = s.sawCold || r.Reason == engine.Cold
		s.addRefusal(name, r)
		if s.bestRefusal == nil || isBetter(r, s.bestRefusal) {
			s.bestRefusal, s.bestEngine = r, name
		}
	}
	return Grant{}, errNoGrant
}

// addRefusal records an engine's last refusal.
func (s *grantSearch) addRefusal(name string, r *Refusal) {
	if s.refusals == nil {
		s.refusals = make(map[string]*Refusal)
	}
	s.refusals[name] = r
}

func (s *grantSearch) requestGrant(ctx context.Context, name string, maxQueueWait time.Duration) (Grant, error) {
	g, err := s.acquirer.requestGrant(ctx, name, s.nextRequest(maxQueueWait))
	var r *Refusal
	if s.learnsHolders && (err == nil || errors.As(err, &r) && r.Reason == engine.Overflow) {
		s.acquirer.recordHolder(time.Now(), name, s.work.Adapter)
	}
	return g, err
}

// nextRequest returns the work of the next request to an owner.
func (s *grantSearch) nextRequest(maxQueueWait time.Duration) engine.Work {
	w := s.work
	w.ID, w.MaxWait = grantRequestID(w.ID, s.requests), maxQueueWait
	s.requests++
	return w
}

// waitInQueue queues the request at an engine with a short queue. Many
// concurrent requests may have seen the same waits, so they spread over the
// engines whose waits are about equal, and a request whose queue has grown
// meanwhile chooses again, until it has used up its tries.
func (s *grantSearch) waitInQueue(ctx context.Context) (Grant, error) {
	for range maxQueueTries {
		name, maxQueueWait := s.chooseQueue()
		g, err := s.requestGrant(ctx, name, maxQueueWait)
		var r *Refusal
		if !errors.As(err, &r) || rank(r.Reason) < rank(engine.Overflow) {
			return g, err
		}
		s.addRefusal(name, r)
	}
	name, number := s.chooseLastQueue()
	return s.acquirer.requestCountedGrant(ctx, name, s.nextRequest(0), number)
}

// chooseQueue returns one of the engines with about the shortest wait, chosen
// by the request ID, and the longest queue wait to accept there.
func (s *grantSearch) chooseQueue() (name string, maxQueueWait time.Duration) {
	waits := make(map[string]time.Duration, len(s.refusals))
	best := s.shortestRefusal()
	for other, r := range s.refusals {
		if rank(r.Reason) == rank(best.Reason) {
			waits[other] = r.QueueWait
		}
	}
	tolerance := s.tolerance(best.QueueWait)
	name = s.chooseByID(waits, tolerance)
	return name, s.refusals[name].QueueWait + tolerance
}

// chooseLastQueue returns the engine of a request that has used up its tries. No owner
// refuses it for its wait any more, and concurrent requests of this node choose before
// any of them is queued. So each request that is on its way counts as more than the
// tolerance, and the next one chooses another of the engines whose waits are about
// equal. The request is counted before another one can choose.
func (s *grantSearch) chooseLastQueue() (name string, number uint64) {
	best := s.shortestRefusal()
	tolerance := s.tolerance(best.QueueWait)
	waits := make(map[string]time.Duration, len(s.refusals))
	s.acquirer.Mu.Lock()
	defer s.acquirer.Mu.Unlock()
	for other, r := range s.refusals {
		if rank(r.Reason) == rank(best.Reason) {
			waits[other] = s.acquirer.Router.WaitAfterJoins(other, r.QueueWait, r.Reason == engine.Cold, tolerance+1)
		}
	}
	name = s.chooseByID(waits, tolerance)
	return name, s.acquirer.Router.CountRequest(name, 0)
}

// shortestRefusal returns the best of the engines' last refusals.
func (s *grantSearch) shortestRefusal() *Refusal {
	var best *Refusal
	for _, r := range s.refusals {
		if best == nil || isBetter(r, best) {
			best = r
		}
	}
	return best
}

// tolerance returns by how much a queue wait may exceed the shortest one and still
// count as equal.
func (s *grantSearch) tolerance(shortest time.Duration) time.Duration {
	return max(s.maxQueueWait, shortest/waitToleranceDivisor)
}

// chooseByID chooses, by the request ID, one of the engines whose waits are about the
// shortest.
func (s *grantSearch) chooseByID(waits map[string]time.Duration, tolerance time.Duration) string {
	limit := slices.Min(slices.Collect(maps.Values(waits))) + tolerance
	var candidates []string
	for name, wait := range waits {
		if wait <= limit {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	return engine.Rendezvous(s.work.ID, candidates, nil, 1)[0]
}
