package relay

import "github.com/vanilladrift/vanilladrift/schedule"

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
