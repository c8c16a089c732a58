package caller

import (
	"time"

	"github.com/vanilladrift/vanilladrift/listen"
	"github.com/vanilladrift/vanilladrift/memory"
)

const (
	// readAheadBytes is how much net/http may read beyond the end of a head.
	readAheadBytes = 4 << 10
	// headCopies is what a head that is read takes for each of its bytes: as it arrived, and decoded.
	headCopies = 2
)

// HeadLimits are the limits on the heads of requests, and on connections without one. A zero field is
// no limit.
type HeadLimits struct {
	Bytes int
	Time  time.Duration // from the first byte of a head to its end
	Idle  time.Duration // until the first byte
	// Memory is the budget in which heads count while their requests are served.
	Memory *memory.Budget
	// OnEnd, which is optional, is called when a connection is ended.
	OnEnd func(reason string)
}

// Reasons for which connections are ended.
const (
	headTooLarge = "head-bytes"
	headTooLong  = "head-time"
	idleTooLong  = "idle"
)

func (l HeadLimits) ended(reason string) {
	if l.OnEnd != nil {
		l.OnEnd(reason)
	}
}

// Refusals of requests whose head is not read to its end.
const (
	notRunHeaders = "Connection: close\r\nContent-Length: 0\r\n" + HeaderOutcome + ": " + string(NotRun) + "\r\n\r\n"
	// headTimedOut refuses a request whose head did not end in time.
	headTimedOut = "HTTP/1.1 408 Request Timeout\r\n" + notRunHeaders
	// headRefused refuses a request whose head is over the limit.
	headRefused = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + notRunHeaders
	// Unavailable refuses a connection or a request for want of memory or connections. Callers'
	// next attempts reach other nodes.
	Unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\n" + notRunHeaders
)

// refusal returns the refusal of a head of which the given bytes were read, or an empty text, and the
// reason. held is the holding of the connection.
func (l HeadLimits) refusal(bytes int, held *memory.Holding, more int) (text, reason string) {
	switch {
	case l.Bytes > 0 && bytes > l.Bytes+readAheadBytes:
		return headRefused, headTooLarge
	case !held.Grow(int64(headCopies * more)):
		return Unavailable, listen.OverBudget
	}
	return "", ""
}
