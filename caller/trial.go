package caller

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	// looks is how many times a request looks again before it waits wherever it
	// is told the shortest wait: each time costs a message to an owner.
	looks = 4
	// slackPart is the part of a wait by which another is about as good. Waits are
	// estimates that may be off by half, so a difference of a quarter says little.
	slackPart = 4
)

// trial is one round of questions to owners.
type trial struct {
	a       *Acquirer
	work    engine.Work
	maxWait time.Duration
	asked   int
	best    *Refusal            // the first of the most hopeful refusals while asking in turn
	name    string              // of the engine that it came from
	refused map[string]*Refusal // the last refusal of each engine
	cold    bool                // some engine would have had to load the adapter
}

var errNone = errors.New("no engine granted the request")

// done reports whether the round has ended, with a grant or a failure that is
// not a refusal.
func (t *trial) done(err error) bool { return !errors.Is(err, errNone) }

// ask asks engines in turn whether they can start within the wait.
func (t *trial) ask(ctx context.Context, names []string) (Grant, error) {
	for _, name := range names {
		g, err := t.askOne(ctx, name, t.maxWait)
		var r *Refusal
		if !errors.As(err, &r) {
			return g, err
		}
		t.cold = t.cold || r.Reason == engine.Cold
		t.note(name, r)
		if t.best == nil || better(r, t.best) {
			t.best, t.name = r, name
		}
	}
	return Grant{}, errNone
}

// note keeps an engine's refusal.
func (t *trial) note(name string, r *Refusal) {
	if t.refused == nil {
		t.refused = make(map[string]*Refusal)
	}
	t.refused[name] = r
}

func (t *trial) askOne(ctx context.Context, name string, maxWait time.Duration) (Grant, error) {
	w := t.work
	w.ID, w.MaxWait = attemptID(w.ID, t.asked), maxWait
	t.asked++
	return t.a.ask(ctx, name, w)
}

// waitAtBest has the request wait at a hopeful engine. Many requests may have
// been told the same wait before any of them began to wait, so they take
// different ones of the engines that are about as good, and one whose engine's
// queue has grown meanwhile looks again.
func (t *trial) waitAtBest(ctx context.Context) (Grant, error) {
	for range looks {
		name, limit := t.nearBest()
		g, err := t.askOne(ctx, name, limit)
		var r *Refusal
		if !errors.As(err, &r) || hope(r.Reason) < hope(engine.Overflow) {
			return g, err
		}
		t.note(name, r)
	}
	name, _ := t.nearBest()
	return t.askOne(ctx, name, 0)
}

// nearBest returns one of the engines whose waits are about the shortest, by
// the request's id, and the wait to accept there.
func (t *trial) nearBest() (name string, limit time.Duration) {
	var best *Refusal
	for _, r := range t.refused {
		if best == nil || better(r, best) {
			best = r
		}
	}
	slack := max(t.maxWait, best.QueueWait/slackPart)
	var near []string
	for other, r := range t.refused {
		if hope(r.Reason) == hope(best.Reason) && r.QueueWait <= best.QueueWait+slack {
			near = append(near, other)
		}
	}
	slices.Sort(near)
	name = engine.Rendezvous(t.work.ID, near, nil, 1)[0]
	return name, t.refused[name].QueueWait + slack
}
