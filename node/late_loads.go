package node

import (
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// lateLoadClockMargin allows for the difference between the clocks of two VMs.
const lateLoadClockMargin = 2 * time.Second

// lateLoads returns the loads that the engine may still execute although they got no reply, for the ownership row.
func (o *ownedEngine) lateLoads(now time.Time) (list []table.LateLoad) {
	for _, load := range o.times.lateLoads.Pending(now) {
		list = append(list, table.LateLoad{ExpectedSequence: load.ExpectedSequence, SentMS: load.SentAt.UnixMilli()})
	}
	return list
}

// shareLateLoads writes the late loads into the ownership row, for an owner that takes the engine over without a
// release. One write is under way at a time. If it fails, the next late load or the release writes them.
func (o *ownedEngine) shareLateLoads() {
	if !o.sharingLateLoads.CompareAndSwap(false, true) {
		return
	}
	o.n.tasks.Go(func() {
		outcome := o.writeRow(o.n.ctx, func(row table.Owner) table.Owner {
			o.sharingLateLoads.Store(false) // later ones take a write of their own
			if list := o.lateLoads(time.Now()); row.Process == o.n.process && !slices.Equal(list, row.LateLoads) {
				row.LateLoads = list
			}
			return row
		})
		if outcome == rowLost {
			o.n.log.Warn("another node has taken over the engine; ending ownership", "engine", o.name)
			o.n.endOwnership(o)
		}
	})
}
