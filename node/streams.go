package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// membersTimeout bounds the time in which a node that has just started learns of the others.
const membersTimeout = 500 * time.Millisecond

// streamKeepers returns the names of the nodes that are told of the streams of a node. In larger fleets they are
// in other data centres, as far as there are enough nodes.
func streamKeepers(self candidate, nodes []candidate) []string {
	var others, elsewhere []string
	for _, c := range nodes {
		if c.name == self.name {
			continue
		}
		others = append(others, c.name)
		if c.dataCenter != self.dataCenter {
			elsewhere = append(elsewhere, c.name)
		}
	}
	if len(nodes) >= smallFleetNodes && len(elsewhere) >= streamCopies {
		others = elsewhere
	}
	return engine.Rendezvous("streams/"+self.name, others, nil, streamCopies)
}

// shareStreams tells some nodes where streams began at this one.
func (n *Node) shareStreams(ctx context.Context) {
	now, s := time.Now(), &n.streamSharing
	s.add(now, n.cfg.Streams.TakeUnshared(now))
	nodes := n.members.candidateList()
	if !s.retain(now, nodes) {
		return
	}
	keepers := n.members.answering(streamKeepers(candidate{n.cfg.Name, n.cfg.DataCenter}, nodes))
	for _, m := range s.messages(now, keepers, len(nodes)) {
		req := &peerpb.KeepStreamsRequest{Streams: encodeStreamOrigins(m.streams)}
		s.begin(now, proto.Size(req))
		n.tasks.Go(func() { s.end(m, n.keepStreams(ctx, m.keeper, req)) })
	}
}

// keepStreams tells a node of streams, and reports whether it answered.
func (n *Node) keepStreams(ctx context.Context, name string, req *peerpb.KeepStreamsRequest) bool {
	mem, ok := n.members.get(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ProbeTimeout)
	defer cancel()
	if _, err := n.members.link(mem.Address).client.KeepStreams(ctx, connect.NewRequest(req)); err != nil {
		n.log.Debug("cannot tell a node where streams began", "of", name, "err", err)
		return false
	}
	return true
}

// recordGranted records that a stream may begin at an engine of this node, which has granted it.
func (n *Node) recordGranted(key []byte, engineName, boot, build string) {
	var k backend.StreamKey
	if n.cfg.Streams == nil || n.cfg.EngineOrigin == nil || copy(k[:], key) != len(k) {
		return
	}
	if o, ok := n.cfg.EngineOrigin(engineName, boot, build); ok {
		n.cfg.Streams.Expect(time.Now(), backend.StreamOrigin{Key: k, Origin: o})
	}
}

// WithdrawStream tells the node that granted a stream that it did not begin at the engine of the grant. It does not
// block.
func (n *Node) WithdrawStream(g caller.Grant) {
	if n.cfg.Streams == nil || g.Stream == "" {
		return
	}
	if g.Owner == n.cfg.Name {
		n.cfg.Streams.Withdraw(decodeStreamKeys([]byte(g.Stream)))
		return
	}
	n.tasks.Go(func() {
		req := &peerpb.KeepStreamsRequest{Withdrawn: []byte(g.Stream)}
		for range releaseAttempts {
			if n.keepStreams(n.ctx, g.Owner, req) {
				return
			}
			sleep(n.ctx, ownerChangeRetry)
		}
	})
}

// KeepStreams implements the Peer service.
func (s *peerServer) KeepStreams(_ context.Context, req *connect.Request[peerpb.KeepStreamsRequest]) (*connect.Response[peerpb.KeepStreamsResponse], error) {
	if s.n.cfg.Streams != nil {
		s.n.cfg.Streams.Withdraw(decodeStreamKeys(req.Msg.GetWithdrawn()))
		s.n.cfg.Streams.Learn(time.Now(), decodeStreamOrigins(req.Msg.GetStreams()))
	}
	return connect.NewResponse(&peerpb.KeepStreamsResponse{}), nil
}

func encodeStreamOrigins(list []backend.StreamOrigin) (out []*peerpb.StreamOrigins) {
	byOrigin := make(map[backend.Origin]*peerpb.StreamOrigins)
	for _, s := range list {
		p := byOrigin[s.Origin]
		if p == nil {
			p = &peerpb.StreamOrigins{Pool: s.Pool, Build: s.Build}
			byOrigin[s.Origin] = p
			out = append(out, p)
		}
		p.Keys = append(p.Keys, s.Key[:]...)
	}
	return out
}

func decodeStreamOrigins(list []*peerpb.StreamOrigins) (out []backend.StreamOrigin) {
	for _, p := range list {
		for _, key := range decodeStreamKeys(p.GetKeys()) {
			out = append(out, backend.StreamOrigin{Key: key, Origin: backend.Origin{Pool: p.GetPool(), Build: p.GetBuild()}})
		}
	}
	return out
}

// decodeStreamKeys ignores what is left of keys that are cut short.
func decodeStreamKeys(keys []byte) (out []backend.StreamKey) {
	var key backend.StreamKey
	for ; len(keys) >= len(key); keys = keys[len(key):] {
		copy(key[:], keys)
		out = append(out, key)
	}
	return out
}

// StreamSearch is what the other nodes answered to the question where a stream began.
type StreamSearch struct {
	Origin backend.Origin
	Found  bool
	// Granted is where owners of engines granted the stream, if none knows where it began.
	Granted []backend.Origin
	// Known is what the nodes know of the software versions of the pool, if none knows the origin.
	Known []backend.KnownBuilds
	// IsComplete is set if all other nodes answered of which this node has read, and none of them
	// has started again since.
	IsComplete bool
}

// FindStream asks the other nodes where a stream began.
func (n *Node) FindStream(ctx context.Context, key backend.StreamKey, pool string) (s StreamSearch) {
	silent := 0 // nodes that are not known, not asked, or do not answer
	select {
	case <-n.members.known:
	case <-time.After(membersTimeout):
		silent++
	case <-ctx.Done():
		silent++
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ProbeTimeout)
	defer cancel()
	var asked []member
	for _, mem := range n.members.all() {
		switch {
		case mem.Process == n.process:
		case !mem.live() || n.members.isDown(mem.Address):
			silent++
		default:
			asked = append(asked, mem)
		}
	}
	type foundStream struct {
		*peerpb.FindStreamResponse
		asked string // process
	}
	responses := make(chan foundStream, len(asked))
	for _, mem := range asked {
		n.tasks.Go(func() {
			resp, err := n.members.link(mem.Address).client.FindStream(ctx, connect.NewRequest(&peerpb.FindStreamRequest{Key: key[:], Pool: pool}))
			if err != nil {
				n.log.Debug("cannot ask a node where a stream began", "address", mem.Address, "err", err)
				responses <- foundStream{}
				return
			}
			responses <- foundStream{resp.Msg, mem.Process}
		})
	}
	for range asked {
		resp := <-responses
		if resp.GetFound() {
			return StreamSearch{Found: true, Origin: backend.Origin{Pool: resp.GetPool(), Build: resp.GetBuild()}}
		}
		if resp.FindStreamResponse == nil || resp.GetProcess() != resp.asked {
			silent++
		}
		if resp.FindStreamResponse == nil {
			continue
		}
		if resp.GetGranted() {
			s.Granted = append(s.Granted, backend.Origin{Pool: resp.GetPool(), Build: resp.GetBuild()})
		}
		s.Known = append(s.Known, backend.KnownBuilds{Builds: resp.GetBuilds(), IsRead: resp.GetIsRead(), IsCurrent: resp.GetIsCurrent()})
	}
	s.IsComplete = silent == 0
	return s
}

// FindStream implements the Peer service.
func (s *peerServer) FindStream(_ context.Context, req *connect.Request[peerpb.FindStreamRequest]) (*connect.Response[peerpb.FindStreamResponse], error) {
	resp := &peerpb.FindStreamResponse{Process: s.n.process}
	var key backend.StreamKey
	if s.n.cfg.Streams == nil || copy(key[:], req.Msg.GetKey()) != len(key) {
		return connect.NewResponse(resp), nil
	}
	if o, ok := s.n.cfg.Streams.Find(key); ok {
		resp.Found, resp.Pool, resp.Build = true, o.Pool, o.Build
	} else {
		if o, ok := s.n.cfg.Streams.Expected(key); ok {
			resp.Granted, resp.Pool, resp.Build = true, o.Pool, o.Build
		}
		known := s.n.cfg.Builds.Known(req.Msg.GetPool())
		resp.Builds, resp.IsRead, resp.IsCurrent = known.Builds, known.IsRead, known.IsCurrent
	}
	return connect.NewResponse(resp), nil
}
