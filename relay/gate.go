package relay

import (
	"time"

	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/schedule"
)

const (
	// eventTokens and bodyBytes are the output tokens of a stream, and the bytes of a body, that are
	// taken to need about as much of the node's processor time as the rest of a request does.
	eventTokens = 100
	bodyBytes   = 64 << 10
)

// gateRequest returns what the guard of the processor time needs to know of the request. Its body and
// its deadline are not known yet.
func (x *exchange) gateRequest() schedule.GateRequest {
	r := schedule.GateRequest{Priority: x.priority(), TimeLeft: x.route.TargetLatency, HasBegun: x.isTakeUp(), Work: 1}
	r.Work += float64(max(0, x.head.OutputTokens())) / eventTokens
	r.Work += float64(max(0, x.r.ContentLength)) / bodyBytes
	return r
}

// admitPlain rejects the request if the servers of its pool have no room for it beside more urgent ones.
func (x *exchange) admitPlain() error {
	if x.handler.AdmitPlain == nil || x.handler.AdmitPlain(time.Now(), x.pool.Name, x.gateRequest()) {
		return nil
	}
	return x.rejection("choose", Busy, "the servers have no room beside more urgent requests", x.retryAfter())
}

// observePlain records an attempt at a plain server.
func (x *exchange) observePlain(took time.Duration, res *result) {
	if x.handler.ObservePlain == nil || res.unsent {
		return
	}
	target := x.route.TargetLatency
	isLate := x.route.Kind != route.Stream && target > 0 && took > target && res.isComplete()
	x.handler.ObservePlain(time.Now(), x.pool.Name, isLate || res.notRun && res.failed)
}
