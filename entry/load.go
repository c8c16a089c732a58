package entry

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/caller"
)

// loadInterval is the time between two measurements of how busy the processor is.
const loadInterval = 25 * time.Millisecond

// watchLoad measures how busy the processor is, until the daemon ends.
func (d *Daemon) watchLoad() {
	due := time.Now().Add(loadInterval)
	timer := time.NewTimer(loadInterval)
	defer timer.Stop()
	rejecting := false
	for {
		select {
		case <-timer.C:
		case <-d.ctx.Done():
			return
		}
		busy, err := processorTime()
		if err != nil {
			d.log.Error("cannot read the processor time; not measuring the load any more", "err", err)
			return
		}
		now := time.Now()
		s := caller.LoadSample{At: now, Late: now.Sub(due), Busy: busy, Next: now.Add(loadInterval)}
		due = s.Next
		timer.Reset(loadInterval)
		d.overload.Observe(s)
		if high, low := d.overload.Admitted(now); (low < 1) != rejecting {
			rejecting = low < 1
			d.log.Info("load", "rejecting", rejecting, "admitted-high", high, "admitted-other", low, "by-cost", d.isByCost(), "late", s.Late)
		}
	}
}

// processorTime returns the processor time that the process has used since its start.
func processorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
