package relay

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

// everyServerPaused is the reason of an [Error] when the pauses of a pool's servers end, or
// their limits have room, too late for the request.
const everyServerPaused = "every server has asked for a pause, or has no room within its limit"

// awaitPauses holds the request while all servers that may still get it have a pause. It
// fails at once if the pauses end too late for the request.
func (x *exchange) awaitPauses(ctx context.Context, excluded func(s *backend.Server) bool) error {
	for {
		left, spread := x.handler.Balancer.Pauses.Wait(time.Now(), x.handler.Servers().Pool(x.pool.Name), excluded)
		if left == 0 {
			return nil
		}
		hold, ok := backend.HoldTime(left, spread, x.timeLeftToAnswer())
		if !ok {
			return x.rejection("hold", Busy, everyServerPaused, x.retryAfter())
		}
		t := time.NewTimer(hold)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return x.contextError(ctx)
		}
	}
}

// isPaused reports whether all servers that may still get the request have a pause.
func (x *exchange) isPaused(excluded func(s *backend.Server) bool) bool {
	left, _ := x.handler.Balancer.Pauses.Wait(time.Now(), x.handler.Servers().Pool(x.pool.Name), excluded)
	return left > 0
}

// timeLeftToAnswer returns the time until the response should begin: until the target, or
// until the deadline if the request can no longer be rejected as not run.
func (x *exchange) timeLeftToAnswer() time.Duration {
	if x.mayHaveRun || x.headerWritten || x.route.TargetLatency <= 0 {
		return time.Until(x.deadline)
	}
	return min(time.Until(x.deadline), time.Until(x.start.Add(x.route.TargetLatency)))
}

// retryAfter returns the time until a server of the pool can accept another request,
// within the caller's deadline.
func (x *exchange) retryAfter() time.Duration {
	left, spread := x.handler.Balancer.Pauses.Wait(time.Now(), x.handler.Servers().Pool(x.pool.Name), func(*backend.Server) bool { return false })
	return max(busyRetryAfter, min(left+backend.Jitter(spread), time.Until(x.deadline)))
}
