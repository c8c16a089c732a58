package node

import (
	"context"
	"time"
)

// bootNow returns the time of the clock that goes on while the VM is suspended. What others
// rely on is counted on it: how long a lease is valid, and how old settings may be. What this node
// waits for is counted on the steady clock, and so lasts longer if the VM is suspended.
func (n *Node) bootNow() time.Time { return n.cfg.Clock.Boot() }

// watchSuspension reports that the VM was suspended. Others may have ended the session
// meanwhile, so it is renewed at once, or
// another one registered.
func (n *Node) watchSuspension(ctx context.Context) {
	d := n.suspensions.Suspended()
	if d == 0 {
		return
	}
	n.metrics.suspensions.Add(ctx, 1)
	n.log.Warn("the VM was suspended", "for", d, "lease-left", n.session.leaseLeft(), "owned-engines", len(n.ownedEngines()))
	if n.cfg.OnResume != nil {
		n.cfg.OnResume()
	}
	n.register()
}
