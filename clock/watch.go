package clock

import "time"

// minSuspension is the shortest suspension that is reported: well above the time between the reads
// of two clocks on a busy VM.
const minSuspension = 100 * time.Millisecond

// Watch detects that the VM was suspended. The zero value watches the clocks of the kernel.
type Watch struct {
	Clock Clock

	started bool
	ahead   time.Duration // of the clock that goes on, before the next suspension
}

// Suspended returns for how long the VM was suspended since the last call, or 0.
func (w *Watch) Suspended() time.Duration {
	steady := w.Clock.Steady()
	ahead := w.Clock.Boot().Sub(steady)
	if w.Clock.Steady().Sub(steady) > minSuspension/2 {
		return 0 // the process was held up between the reads
	}
	last, first := w.ahead, !w.started
	w.started = true
	switch {
	case first:
		w.ahead = ahead
	case ahead-last >= minSuspension:
		w.ahead = ahead
		return ahead - last
	}
	return 0
}
