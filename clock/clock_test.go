package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// vm is a VM whose clocks a test sets.
type vm struct{ steady, boot time.Time }

func (v *vm) clock() Clock {
	return Clock{SteadyNow: func() time.Time { return v.steady }, BootNow: func() time.Time { return v.boot }}
}

func (v *vm) pass(running, suspended time.Duration) {
	v.steady, v.boot = v.steady.Add(running), v.boot.Add(running+suspended)
}

func TestKernelClocksGoOnTogether(t *testing.T) {
	is := is.New(t)
	var c Clock
	steady, boot := c.Steady(), c.Boot()
	time.Sleep(20 * time.Millisecond)
	is.True(c.Boot().Sub(boot) >= 20*time.Millisecond)
	is.True(c.Boot().Sub(boot) <= c.Steady().Sub(steady)) // nothing was suspended meanwhile
}

func TestWatchReportsEachSuspensionOnce(t *testing.T) {
	is := is.New(t)
	v := &vm{steady: time.Unix(0, 0), boot: time.Unix(500, 0)} // suspended before the process started
	w := Watch{Clock: v.clock()}
	is.Equal(w.Suspended(), time.Duration(0))
	v.pass(time.Second, 20*time.Millisecond)
	is.Equal(w.Suspended(), time.Duration(0)) // too short
	v.pass(time.Second, 3*time.Second)
	is.True(w.Suspended() >= 3*time.Second)
	v.pass(time.Second, 0)
	is.Equal(w.Suspended(), time.Duration(0))
	v.pass(0, 200*time.Millisecond)
	is.Equal(w.Suspended(), 200*time.Millisecond)
}
