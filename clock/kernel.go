package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is the time of both clocks when the process started, from which kernelBoot counts.
var origin = struct {
	steady time.Time
	boot   time.Duration
}{time.Now(), sinceBoot()}

// kernelBoot returns the time of CLOCK_BOOTTIME, shifted so that both clocks agree at the start of the process.
func kernelBoot() time.Time { return origin.steady.Add(sinceBoot() - origin.boot) }

// sinceBoot reads CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the kernel has no clock that counts suspensions: " + err.Error()) // Linux has had it since 2.6.39
	}
	return time.Duration(ts.Nano())
}
