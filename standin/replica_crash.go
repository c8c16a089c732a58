package standin

import (
	"io"
	"net/http"
	"slices"
	"time"
)

// crash ends the given incarnation, with all its requests, and starts the next one after the
// downtime of the fault.
func (r *Replica) crash(startMS int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startMS != startMS {
		return // it has ended already
	}
	r.record.RequestCrashes = append(r.record.RequestCrashes, time.Now())
	r.fall(r.fault.CrashDowntime)
}

// fall ends the incarnation, and starts the next one after the downtime. r.mu must be held.
func (r *Replica) fall(downtime time.Duration) {
	r.isDown = true
	r.reset()
	time.AfterFunc(downtime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.isDown = false
		r.reset()
		r.rowFrom = time.Now().Add(r.fault.CrashRowLag)
		r.publishState()
		start := r.startMS
		time.AfterFunc(r.fault.CrashRowLag, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.isDown && r.startMS == start {
				r.publishState()
			}
		})
	})
}

// IsDown reports whether the replica has crashed and not started again.
func (r *Replica) IsDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown
}

// crashesOn reports whether a request with these parts in its prompt, or with this body,
// crashes the replica, and records its arrival.
func (r *Replica) crashesOn(parts []string, body io.Reader) bool {
	content, err := io.ReadAll(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	isPart := r.fault.CrashPart != "" && slices.Contains(parts, r.fault.CrashPart)
	isBody := r.fault.CrashBody != "" && err == nil && string(content) == r.fault.CrashBody
	if !isPart && !isBody {
		return false
	}
	r.record.CrashingArrivals = append(r.record.CrashingArrivals, time.Now())
	return true
}

// serveDown closes the connection if the replica is down.
func (r *Replica) serveDown() {
	if r.IsDown() {
		panic(http.ErrAbortHandler)
	}
}
