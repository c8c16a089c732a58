package relay

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
)

// isTakeUp reports whether the caller has the first part of the stream that it asks for.
func (x *exchange) isTakeUp() bool { return x.head.LastEventID != "" && x.route.IsResumableStream() }

// takeUp finds out at which software version the stream of a take-up began. It rejects a request
// that cannot go on there.
func (x *exchange) takeUp(ctx context.Context) error {
	if x.handler.FindOrigin == nil || !x.isTakeUp() {
		return nil
	}
	o, ok := x.handler.FindOrigin(ctx, x.streamKey(x.head.Resumes), x.pool.Name)
	if !ok {
		return x.cannotResume("it is not known which software version began the stream")
	}
	if o.Pool != x.pool.Name {
		if !x.route.LeadsTo(o.Pool) {
			return x.cannotResume("the route does not lead to the pool that began the stream any more")
		}
		if x.pool, ok = x.table.Pool(o.Pool); !ok {
			return x.cannotResume("the pool that began the stream is gone")
		}
	}
	x.origin = &o
	for _, s := range x.handler.Servers().Pool(x.pool.Name) {
		if !s.Draining && x.canUse(s) {
			return nil
		}
	}
	return x.cannotResume("no server of the software version that began the stream is left")
}

func (x *exchange) cannotResume(reason string) error {
	return &Error{Op: "resume", Kind: CannotResume, Reason: reason}
}

// canUse reports whether the request may be sent to a server. A stream goes on only at the
// software version that began it.
func (x *exchange) canUse(s *backend.Server) bool {
	switch {
	case !x.route.IsResumableStream():
		return true
	case x.origin != nil:
		return s.Build == x.origin.Build
	}
	return x.handler.MayBegin == nil || x.handler.MayBegin(s)
}

// atGrantedStart returns an engine with the software version of the start that a grant is for. The
// row may be of the start before: the owner of an engine learns from its reports that it has started
// again, and the row may follow seconds later. It returns false if that version is needed, and not
// known. Without a grant of the owner only the row tells.
func (x *exchange) atGrantedStart(s *backend.Server, g caller.Grant) (*backend.Server, bool) {
	if !x.route.IsResumableStream() || g.Boot == "" || g.Boot == s.Boot() {
		return s, true
	}
	if g.Build == "" {
		return s, false
	}
	granted := *s
	granted.Build = g.Build
	return &granted, true
}

// grantedStreams is the grants whose owners were told of a stream. It is safe for concurrent use.
type grantedStreams struct {
	mu     sync.Mutex
	grants []caller.Grant
	build  string // at which the stream began; empty before
}

// add adds a grant, and returns it if the stream began at another software version.
func (s *grantedStreams) add(g caller.Grant) []caller.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants = append(s.grants, g)
	return s.others()
}

// begin records at which software version the stream began, and returns the grants for others.
func (s *grantedStreams) begin(build string) []caller.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.build = build
	return s.others()
}

// others takes the grants for other versions than that at which the stream began. The caller holds s.mu.
func (s *grantedStreams) others() (list []caller.Grant) {
	if s.build == "" {
		return nil
	}
	for _, g := range s.grants {
		if g.Build != s.build {
			list = append(list, g)
		}
	}
	s.grants = nil
	return list
}

// recordGrant records that the owner of an engine takes the stream for one that may begin there.
func (x *exchange) recordGrant(g caller.Grant) {
	if g.Stream == "" {
		return
	}
	if s, ok := x.handler.Servers().Server(g.Engine); ok {
		if s, ok = x.atGrantedStart(s, g); ok {
			g.Build = s.Build
		}
	}
	x.withdraw(x.granted.add(g))
}

func (x *exchange) withdraw(grants []caller.Grant) {
	for _, g := range grants {
		if x.handler.WithdrawStream != nil {
			x.handler.WithdrawStream(g)
		}
	}
}

// recordOrigin records where the stream began whose next event is about to be sent to the caller.
func (x *exchange) recordOrigin() {
	if x.originRecorded || !x.route.IsResumableStream() {
		return
	}
	x.originRecorded = true
	if x.origin == nil {
		x.origin = &backend.Origin{Pool: x.pool.Name, Build: x.event.Build}
	}
	x.withdraw(x.granted.begin(x.origin.Build))
	if x.handler.RecordOrigin != nil {
		x.handler.RecordOrigin(time.Now(), backend.StreamOrigin{Key: x.streamKey(x.head.ID), Origin: *x.origin})
	}
}

// streamKey identifies an attempt of this stream by its ID. Attempts of others with the same ID
// ask for something else.
func (x *exchange) streamKey(attempt string) (key backend.StreamKey) {
	f := x.fingerprint()
	copy(key[:], hashParts([]byte(attempt), f.Target[:]))
	return key
}
