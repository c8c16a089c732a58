package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
)

// takeTurn reports whether a request may be sent to a server now, within its limit. If not,
// the server gets no other request of this node before it may have room again.
func (d *Daemon) takeTurn(ctx context.Context, s *backend.Server) bool {
	wait, ok := d.node.TakeTurn(ctx, s.ID)
	if !ok {
		d.balancer.Pauses.DelayTurn(time.Now(), s, wait)
	}
	return ok
}

// withTurnDelays returns a function that requests grants and remembers which engines have no
// room within their limits.
func (d *Daemon) withTurnDelays(request func(context.Context, string, engine.Work) (caller.Grant, error)) func(context.Context, string, engine.Work) (caller.Grant, error) {
	return func(ctx context.Context, name string, w engine.Work) (caller.Grant, error) {
		g, err := request(ctx, name, w)
		var r *caller.Refusal
		if errors.As(err, &r) && r.Reason == engine.Limited {
			if s, ok := d.state.servers.View().Server(name); ok {
				d.balancer.Pauses.DelayTurn(time.Now(), s, r.RetryAfter)
			}
		}
		return g, err
	}
}

// canUseEngine reports whether an engine may get requests of this node now.
func (d *Daemon) canUseEngine(name string) bool {
	s, ok := d.state.servers.View().Server(name)
	return !ok || d.balancer.Pauses.IsOpen(time.Now(), s)
}
