package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

const (
	// streamShareInterval is the shortest time between two messages about streams that have begun.
	// If this node ends, streams that began since the last one are not known any more.
	streamShareInterval = 75 * time.Millisecond
	// smallFleetNodes is the number of nodes below which most may be lost at once. They then tell
	// smallFleetKeepers nodes, so that any that is left knows; others tell one, in another data
	// centre.
	smallFleetNodes   = 16
	smallFleetKeepers = 6
	// streamShareRate bounds the bytes a second of the messages in larger fleets, where streams
	// last long. It is half of what a node has for control: it receives as much as it sends.
	streamShareRate = 1000
	// messageBytes is what a message between nodes takes beside its content.
	messageBytes = 160
	// membersTimeout bounds the time in which a node that has just started learns of the others.
	membersTimeout = 500 * time.Millisecond
)

// streamSharing decides when and to which nodes a node tells where streams began at it.
type streamSharing struct {
	next time.Time // no message is sent before
}

// isDue reports whether a message may be sent.
func (s *streamSharing) isDue(now time.Time) bool { return !now.Before(s.next) }

// sent records a message of the given size.
func (s *streamSharing) sent(now time.Time, bytes, nodes int) {
	if nodes >= smallFleetNodes {
		s.next = now.Add(time.Duration(bytes+messageBytes) * time.Second / streamShareRate)
	}
}

// streamKeepers returns the names of the nodes that are told of the streams of a node.
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
	k := smallFleetKeepers
	if len(nodes) >= smallFleetNodes {
		k = 1
		if len(elsewhere) > 0 {
			others = elsewhere
		}
	}
	return engine.Rendezvous("streams/"+self.name, others, nil, k)
}

// shareStreams tells some nodes where streams began at this one.
func (n *Node) shareStreams(ctx context.Context) {
	now := time.Now()
	if !n.streamSharing.isDue(now) {
		return
	}
	list := n.cfg.Streams.TakeUnshared(now)
	if len(list) == 0 {
		return
	}
	req := &peerpb.KeepStreamsRequest{Streams: encodeStreamOrigins(list)}
	nodes := n.members.candidateList()
	n.streamSharing.sent(now, proto.Size(req), len(nodes))
	for _, name := range streamKeepers(candidate{n.cfg.Name, n.cfg.DataCenter}, nodes) {
		if mem, ok := n.members.get(name); ok {
			n.tasks.Go(func() { n.members.keepStreams(ctx, mem.Address, req) })
		}
	}
}

func (m *members) keepStreams(ctx context.Context, address string, req *peerpb.KeepStreamsRequest) {
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	if _, err := m.link(address).client.KeepStreams(ctx, connect.NewRequest(req)); err != nil {
		m.n.log.Debug("cannot tell a node where streams began", "address", address, "err", err)
	}
}

// KeepStreams implements the Peer service.
func (s *peerServer) KeepStreams(_ context.Context, req *connect.Request[peerpb.KeepStreamsRequest]) (*connect.Response[peerpb.KeepStreamsResponse], error) {
	if s.n.cfg.Streams != nil {
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

// decodeStreamOrigins ignores what is left of keys that are cut short.
func decodeStreamOrigins(list []*peerpb.StreamOrigins) (out []backend.StreamOrigin) {
	for _, p := range list {
		s := backend.StreamOrigin{Origin: backend.Origin{Pool: p.GetPool(), Build: p.GetBuild()}}
		for keys := p.GetKeys(); len(keys) >= len(s.Key); keys = keys[len(s.Key):] {
			copy(s.Key[:], keys)
			out = append(out, s)
		}
	}
	return out
}

// StreamSearch is what the other nodes answered to the question where a stream began.
type StreamSearch struct {
	Origin backend.Origin
	Found  bool
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
		known := s.n.cfg.Builds.Known(req.Msg.GetPool())
		resp.Builds, resp.IsRead, resp.IsCurrent = known.Builds, known.IsRead, known.IsCurrent
	}
	return connect.NewResponse(resp), nil
}
