package node

import "time"

// isByCost reports whether work is ordered and refused by what that costs callers.
func (n *Node) isByCost() bool { return n.cfg.ByCost != nil && n.cfg.ByCost() }

// updateOrder makes the engine's queue follow a change of the configuration. The caller must hold o.mu.
func (o *ownedEngine) updateOrder(now time.Time) {
	byCost := o.n.isByCost()
	if byCost == o.sched.IsByCost() {
		return
	}
	o.n.log.Info("order of an engine's queue changed", "engine", o.name, "by-cost", byCost)
	o.apply(o.sched.SetByCost(now, byCost))
}
