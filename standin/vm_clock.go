package standin

import (
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/clock"
)

// VMClock is the clocks of a VM that can be suspended. Its steady clock does not count that time, and
// its processes see the other clock go on only when they run again. Use [Network.Freeze] beside it,
// since timers in virtual time go on. The zero value is a VM that was never suspended.
type VMClock struct {
	mu          sync.Mutex
	suspendedAt time.Time     // zero if it runs
	lost        time.Duration // in earlier suspensions
}

// Clock returns the clocks.
func (v *VMClock) Clock() clock.Clock { return clock.Clock{SteadyNow: v.steady, BootNow: v.boot} }

// Suspend suspends the VM.
func (v *VMClock) Suspend() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspendedAt = time.Now()
}

// Resume ends a suspension.
func (v *VMClock) Resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lost += time.Since(v.suspendedAt)
	v.suspendedAt = time.Time{}
}

// Suspended reports whether the VM is suspended.
func (v *VMClock) Suspended() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.suspendedAt.IsZero()
}

func (v *VMClock) steady() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.suspendedAt.IsZero() {
		return v.suspendedAt.Add(-v.lost)
	}
	return time.Now().Add(-v.lost)
}

func (v *VMClock) boot() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.suspendedAt.IsZero() {
		return v.suspendedAt
	}
	return time.Now()
}
