// Package clock reads the clocks of the VM.
//
// The steady clock, which [time.Now] reads and timers follow, stops while the VM is suspended.
// What others may rely on after a time, such as the end of a lease, must be counted on a clock that
// goes on.
//
// # Usage
//
//	var c clock.Clock
//	start := c.Boot()
//	...
//	elapsed := c.Boot().Sub(start) // includes the time in which the VM was suspended
//
// # Not covered
//
// The clocks of different VMs are not compared. A time of one clock says nothing on the
// other one: a value from [Clock.Boot] must be compared with values from there only.
package clock

import "time"

// Clock reads the clocks of a VM. The zero value reads those of the kernel.
type Clock struct {
	// SteadyNow and BootNow replace the clocks of the kernel. A test in virtual time sets
	// BootNow, since the kernel's clock follows real time.
	SteadyNow func() time.Time
	BootNow   func() time.Time
}

// Virtual returns a clock for tests in virtual time, of a VM that is never suspended.
func Virtual() Clock { return Clock{SteadyNow: time.Now, BootNow: time.Now} }

// Steady returns the time of the clock that stops while the VM is suspended.
func (c Clock) Steady() time.Time {
	if c.SteadyNow != nil {
		return c.SteadyNow()
	}
	return time.Now()
}

// Boot returns the time of the clock that goes on while the VM is suspended.
func (c Clock) Boot() time.Time {
	if c.BootNow != nil {
		return c.BootNow()
	}
	return kernelBoot()
}
