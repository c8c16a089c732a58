package feed

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// maxResponseTimeouts bounds a call whose response keeps arriving, in response timeouts.
const maxResponseTimeouts = 5

// startCall returns the context of a call. It ends if the response does not begin within the timeout, or
// if nothing more of it arrives within the response timeout: what a slow link takes for a long
// response must not make the call fail, since the next response is longer.
func (f *Follower) startCall(ctx context.Context, timeout time.Duration, onResponse func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	var began time.Time
	ctx = table.WithProgress(ctx, func() { // by one goroutine
		if began.IsZero() {
			began = time.Now()
			onResponse()
		}
		if left := f.ResponseTimeout*maxResponseTimeouts - time.Since(began); timer.Stop() {
			timer.Reset(min(f.ResponseTimeout, left))
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
