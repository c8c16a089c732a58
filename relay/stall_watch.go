package relay

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/route"
)

// stallWatch ends an attempt whose stream has stalled: once the stream can go on at
// another server, or its caller must have left. Close it when the attempt has ended.
type stallWatch struct {
	end       context.CancelFunc // ends the attempt
	deadline  time.Time
	isStream  bool // the route is one of streams
	canSearch bool // the route allows that the stream goes on at another server
	pace      *backend.Pace
	prompt    int // length of the prompt in tokens
	// find looks for another server, and acquires a grant if it is an engine.
	find func(ctx context.Context, lastEventAt time.Time) (caller.Grant, bool)
	// spendRetry takes the retry at that server from the budget.
	spendRetry func() bool
	release    func(g caller.Grant)

	mu           sync.Mutex
	progress     streamProgress
	timer        *time.Timer
	running      sync.WaitGroup // the timer and its function
	cancelSearch context.CancelFunc
	writeStart   time.Time     // of the event that is being written to the caller; zero if none
	blocked      time.Duration // time for writing since the last progress
	// checkAfterWrite is set if a check was due while an event was written.
	checkAfterWrite bool
	closed          bool
	stalled         time.Duration // time without an event, if the attempt was ended
	next            caller.Grant  // for the next attempt, if isFound
	isFound         bool
}

// watch starts to watch an attempt.
func (x *exchange) watch(s *backend.Server, end context.CancelFunc, canSearch bool) *stallWatch {
	now := time.Now()
	aim := x.start.Add(x.route.TargetLatency)
	if !x.lastEventAt.IsZero() {
		aim = x.lastEventAt.Add(x.route.TargetGap)
	}
	paces, pool := &x.handler.Balancer.Paces, x.pool.Name
	pace := paces.Of(now, s)
	w := &stallWatch{end: end, deadline: x.deadline, isStream: x.route.Kind == route.Stream, canSearch: canSearch && x.route.Resumable, pace: pace, prompt: x.head.PromptTokens, spendRetry: x.spendRetry}
	w.release = func(g caller.Grant) { x.handler.Release(g, false, 0) }
	w.progress = streamProgress{
		firstAim: aim.Sub(now), gapAim: x.route.TargetGap, callerTimeout: x.route.FirstEventTimeout(), lastAt: now,
		usualTime: func(isFirst bool) (time.Duration, bool) {
			return paces.UsualTime(pace, func() []*backend.Server { return x.handler.Servers().Pool(pool) }, isFirst, w.prompt)
		},
	}
	return w
}

// start begins to watch, if the route is one of streams: callers of others await no event.
// The other fields must be set.
func (w *stallWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStream {
		w.schedule(minStall)
	}
}

// schedule calls check after d. w.mu must be held.
func (w *stallWatch) schedule(d time.Duration) {
	w.running.Add(1)
	w.timer = time.AfterFunc(d, func() {
		defer w.running.Done()
		w.check()
	})
}

// stop ends the watch.
func (w *stallWatch) stop() {
	w.mu.Lock()
	w.closed = true
	if w.timer != nil && w.timer.Stop() {
		w.running.Done()
	}
	if w.cancelSearch != nil {
		w.cancelSearch()
	}
	w.mu.Unlock()
	w.running.Wait()
}

// close ends the watch, and completes the result of an attempt that it has ended. A grant
// that is not needed is released.
func (w *stallWatch) close(res *result) {
	w.stop()
	if w.stalled > 0 && !res.done {
		res.reason = "no event with content for " + w.stalled.Round(time.Millisecond).String()
		res.retrySpent = w.isFound
		if w.next.Engine != "" {
			res.next = &w.next
		}
		return
	}
	if w.next.Engine != "" {
		w.release(w.next)
	}
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if !w.writeStart.IsZero() {
		w.checkAfterWrite = true
		return
	}
	now := time.Now()
	act, next := w.progress.check(now, w.canSearch && w.canBeInTime(now))
	switch act {
	case goOn:
		w.schedule(next)
		return
	case endStream:
		w.stalled = now.Sub(w.progress.lastAt)
		w.end()
		return
	}
	lastAt, events := w.progress.lastAt, w.progress.events
	ctx, cancel := context.WithTimeout(context.Background(), next)
	defer cancel()
	w.cancelSearch = cancel
	var lastEventAt time.Time
	if events > 0 {
		lastEventAt = lastAt
	}
	w.mu.Unlock()
	g, ok := w.find(ctx, lastEventAt)
	w.mu.Lock()
	w.cancelSearch = nil
	if ok && !w.closed && events == w.progress.events && w.spendRetry() {
		w.next, w.isFound, w.stalled = g, true, time.Since(lastAt)
		w.end()
		return
	}
	if ok && g.Engine != "" {
		w.release(g)
	}
	if !w.closed {
		w.schedule(0)
	}
}

// canBeInTime reports whether another server could still send an event before the
// deadline.
func (w *stallWatch) canBeInTime(now time.Time) bool {
	first, _ := w.progress.usualTime(true) // 0 if it is unknown
	return w.deadline.Sub(now) > first
}

// add records an event that the server sent, and reports whether it is progress.
func (w *stallWatch) add(now time.Time, ev streamEvent) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	isFirst := w.progress.events == 0
	gap, ok := w.progress.add(now, ev)
	if !ok {
		return false
	}
	if w.cancelSearch != nil {
		w.cancelSearch()
	}
	if w.blocked <= gap { // else the event may have waited for the caller
		w.pace.Observe(isFirst, w.prompt, gap)
	}
	w.blocked = 0
	return true
}

// startWrite and endWrite enclose the writing of an event to the caller. The time that it
// takes is the caller's.
func (w *stallWatch) startWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeStart = time.Now()
}

func (w *stallWatch) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := time.Since(w.writeStart)
	w.writeStart = time.Time{}
	w.progress.lastAt = w.progress.lastAt.Add(d)
	w.blocked += d
	if w.checkAfterWrite && !w.closed {
		w.checkAfterWrite = false
		w.schedule(0)
	}
}
