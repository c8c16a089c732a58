package clock

import "time"

// minSuspension is the shortest suspension that is reported: well above the time between the reads
// of two clocks on a busy VM.
const minSuspension = 100 * time.Millisecond

// Watch detects that the VM was suspended. The zero value watches the clocks of the kernel.
type Watch struct {
	Clock Clock

	started  bool
	behind   time.Duration // of the steady clock, at the last look
}

// Suspended returns for how long the VM was suspended since the last call, or 0.
func (w *Watch) Suspended() time.Duration {
	before := w.Clock.Steady()
	boot := w.Clock.Boot()
	behind := boot.Sub(before)
	if w.Clock.Steady().Sub(before) > minSuspension/2 {
		return 0 // the process was held up between the two reads
	}
	grown := behind - w.behind
	first := !w.started
	w.started = true
	if first || grown >= minSuspension || grown < 0 {
		w.behind = behind
	}
	if first || grown < minSuspension {
		return 0
	}
	return grown
}
