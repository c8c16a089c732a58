package caller

import (
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

const (
	// MaxLateness is the lateness from which all new requests are rejected. A request waits so
	// long for the processor several times until its response begins.
	MaxLateness = 100 * time.Millisecond
	// loadWindow is the time over which the use of the processor is measured.
	loadWindow = 200 * time.Millisecond
	// highUse and fullUse are the parts of the processor time in use from which less is admitted,
	// slowly and fast. What is left is for work that does not come from callers, such as reading
	// which servers leave.
	highUse = 0.75
	fullUse = 0.85
	// highLoss and fullLoss are the same for the part of the time by which timers fired late.
	highLoss = 0.1
	fullLoss = 0.25
	// slowDecrease and fastDecrease are the factors on what is admitted after a window of high or
	// full use, and increase is what is added after another one.
	slowDecrease = 0.9
	fastDecrease = 0.6
	increase     = 0.05
	// allAdmitted and allHighAdmitted are the levels from which on all requests, and all of the
	// highest priority, are admitted. Requests of the highest priority are rejected only below the
	// latter, when all others are.
	allAdmitted     = 2.0
	allHighAdmitted = 1.0
	leastAdmitted   = 0.05
)

// LoadSample is a measurement of how busy the processor is.
type LoadSample struct {
	At   time.Time
	Late time.Duration // how late the timer of the measurement fired
	Busy time.Duration // processor time that the process has used since its start
	Next time.Time     // when the next sample is due
}

// Overload decides which new requests a node has too little processor time for. Such requests wait,
// and with them all else in the process, among it what learns of configurations and of servers that
// leave. It is fed with samples, taken by a timer: of the processor time in use, and of how late
// the timer fired. The zero value rejects nothing until it has samples.
type Overload struct {
	// Cores is the processor time that the process may use per time. If it is 0, only lateness
	// counts.
	Cores float64
	// ByCost, which is optional, reports whether requests are rejected by what that costs callers: by
	// priority, the time left to the target and work. Otherwise the highest priority goes before all
	// others. The parts that are admitted add up to the same.
	ByCost func() bool

	mu          sync.Mutex
	before      time.Duration // how late the sample before the last one was
	last        LoadSample
	windowStart LoadSample
	lost        time.Duration // by which the timer fired late in the window
	isHigh      bool          // the window before was one of high use
	rejected    float64       // how far what is admitted lies below allAdmitted
	credit      [2]float64    // of requests of the highest and of other priorities that may be admitted
	gate        schedule.Gate // by cost
}

// Observe records a sample.
func (o *Overload) Observe(s LoadSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.before, o.last = o.last.Late, s
	if o.windowStart.At.IsZero() {
		o.windowStart = s
		return
	}
	o.lost += s.Late
	elapsed := s.At.Sub(o.windowStart.At)
	if elapsed < loadWindow {
		return
	}
	use, loss := 0.0, o.lost.Seconds()/elapsed.Seconds()
	if o.Cores > 0 {
		use = (s.Busy - o.windowStart.Busy).Seconds() / (elapsed.Seconds() * o.Cores)
	}
	o.windowStart, o.lost = s, 0
	isHigh, wasHigh := use > highUse || loss > highLoss, o.isHigh
	o.isHigh = isHigh
	admitted := allAdmitted - o.rejected
	switch {
	case !isHigh:
		admitted += increase
	case wasHigh && (use > fullUse || loss > fullLoss):
		admitted *= fastDecrease
	default: // also after a single pause
		admitted *= slowDecrease
	}
	o.rejected = allAdmitted - min(allAdmitted, max(leastAdmitted, admitted))
}

// Admitted returns the parts of the requests of the highest and of other priorities that are
// admitted.
func (o *Overload) Admitted(now time.Time) (high, low float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admitted(now)
}

func (o *Overload) admitted(now time.Time) (high, low float64) {
	if o.last.At.IsZero() {
		return 1, 1
	}
	if late := max(min(o.before, o.last.Late), min(o.last.Late, now.Sub(o.last.Next))); late > MaxLateness {
		return 0, 0
	}
	admitted := allAdmitted - o.rejected
	return min(1, admitted/allHighAdmitted), max(0, admitted-allHighAdmitted)
}

// RejectsSome reports whether some requests are rejected.
func (o *Overload) RejectsSome(now time.Time) bool {
	_, low := o.Admitted(now)
	return low < 1
}

// Rejects reports whether a new request is to be rejected.
func (o *Overload) Rejects(now time.Time, r schedule.GateRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	high, low := o.admitted(now)
	if o.ByCost != nil && o.ByCost() {
		return !o.gate.Admits(now, r, (high*allHighAdmitted+low*(allAdmitted-allHighAdmitted))/allAdmitted)
	}
	share, credit := low, &o.credit[1]
	if r.Priority == 0 {
		share, credit = high, &o.credit[0]
	}
	if share >= 1 {
		*credit = 0
		return false
	}
	if *credit += share; *credit >= 1 {
		*credit--
		return false
	}
	return true
}
