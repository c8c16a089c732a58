package node

import "context"

// watchSuspension logs that the VM was suspended.
func (n *Node) watchSuspension(ctx context.Context) {
	if d := n.suspensions.Suspended(); d > 0 {
		n.metrics.suspensions.Add(ctx, 1)
		n.log.Warn("the VM was suspended", "for", d, "lease-left", n.session.leaseLeft(), "owned-engines", len(n.ownedEngines()))
	}
}
