package entry

import (
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

// Schedule tells by what requests are ordered and refused where capacity is short.
type Schedule string

// The schedules. The zero value is [ScheduleAuto].
const (
	ScheduleByCost    Schedule = "cost"    // by what delays and refusals cost callers
	ScheduleByArrival Schedule = "arrival" // by arrival and expected length, whatever the priority
	ScheduleAuto      Schedule = "auto"    // by cost while the configuration has client accounts
)

// isByCost reports whether requests are ordered and refused by cost now.
func (d *Daemon) isByCost() bool {
	switch d.Schedule {
	case ScheduleByCost:
		return true
	case ScheduleByArrival:
		return false
	}
	routes := d.state.routes.Load()
	return routes != nil && routes.HasAccounts()
}

// admitPlain reports whether a request may be sent to a pool of plain servers.
func (d *Daemon) admitPlain(now time.Time, pool string, r schedule.GateRequest) bool {
	return !d.isByCost() || d.poolGates.Admits(now, pool, r)
}
