package caller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// trial is one round of questions to owners.
type trial struct {
	a       *Acquirer
	work    engine.Work
	maxWait time.Duration
	asked   int
	best    *Refusal // the most hopeful refusal
	name    string   // of the engine that it came from
	cold    bool     // some engine would have had to load the adapter
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
		if t.best == nil || better(r, t.best) {
			t.best, t.name = r, name
		}
	}
	return Grant{}, errNone
}

func (t *trial) askOne(ctx context.Context, name string, maxWait time.Duration) (Grant, error) {
	w := t.work
	w.ID, w.MaxWait = attemptID(w.ID, t.asked), maxWait
	t.asked++
	return t.a.ask(ctx, name, w)
}

// waitAtBest has the request wait at the most hopeful engine.
func (t *trial) waitAtBest(ctx context.Context) (Grant, error) { return t.askOne(ctx, t.name, 0) }
