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

const (
	// membersTimeout bounds the time in which a node that has just started learns of the others.
	membersTimeout = 500 * time.Millisecond
	// streamAnswerTime is the time after which a node is probed that has not answered where streams began. A
	// node with too little processor time takes longer than ProbeTimeout, and still knows.
	streamAnswerTime = time.Second
	// streamQuestionAttempts allows for a connection that breaks.
	streamQuestionAttempts = 2
)

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
	// Asked and Answers are the numbers of other nodes, and of those that answered, until the search ended
	// after Time.
	Asked, Answers int
	Time           time.Duration
}

// FindStream asks the other nodes where a stream began. It waits for the answers of nodes that take their time, but not
// for nodes that do not answer heartbeats, and not for more than half of the time that is left to the caller.
func (n *Node) FindStream(ctx context.Context, key backend.StreamKey, pool string) StreamSearch {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	isKnown := true // who the other nodes are
	select {
	case <-n.members.known:
	case <-time.After(membersTimeout):
		isKnown = false
	case <-ctx.Done():
		isKnown = false
	}
	search, ok := n.streamSearches.begin(time.Now(), key, pool, n.members.candidatePeers())
	if !ok {
		return StreamSearch{}
	}
	n.askStreams()
	select {
	case <-search.done:
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	s := n.streamSearches.end(time.Now(), search)
	s.IsComplete = s.IsComplete && isKnown
	n.metrics.streamSearch.Record(n.ctx, s.Time.Seconds())
	return s
}

// askStreams sends the questions where streams began that are due.
func (n *Node) askStreams() {
	list, delay := n.streamSearches.questions(time.Now())
	for _, m := range list {
		n.tasks.Go(func() {
			resp := n.findStreams(m)
			n.streamSearches.answer(time.Now(), m, resp)
			n.askStreams()
		})
	}
	if delay > 0 {
		time.AfterFunc(delay, n.askStreams)
	}
}

// findStreams sends a question to a node, again if the answer is lost. It returns nil if there is none.
func (n *Node) findStreams(m streamQuestion) *peerpb.FindStreamsResponse {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.LeaseTTL) // by then its session has ended if it does not answer
	defer cancel()
	probe := time.AfterFunc(streamAnswerTime, func() {
		n.tasks.Go(func() {
			if !n.members.responds(n.ctx, m.address) {
				cancel()
			}
		})
	})
	defer probe.Stop()
	client, req := n.members.link(m.address).client, m.request()
	for range streamQuestionAttempts {
		n.metrics.streamQuestions.Add(ctx, 1)
		resp, err := client.FindStreams(ctx, connect.NewRequest(req))
		if err == nil {
			return resp.Msg
		}
		n.log.Debug("cannot ask a node where streams began", "address", m.address, "streams", len(m.searches), "err", err)
		if ctx.Err() != nil || !n.members.responds(n.ctx, m.address) {
			break
		}
	}
	return nil
}

// FindStreams implements the Peer service.
func (s *peerServer) FindStreams(_ context.Context, req *connect.Request[peerpb.FindStreamsRequest]) (*connect.Response[peerpb.FindStreamsResponse], error) {
	resp := &peerpb.FindStreamsResponse{Process: s.n.process}
	if s.n.cfg.Streams == nil {
		return connect.NewResponse(resp), nil
	}
	var found, granted []backend.StreamOrigin
	for _, p := range req.Msg.GetPools() {
		for _, key := range decodeStreamKeys(p.GetKeys()) {
			if o, ok := s.n.cfg.Streams.Find(key); ok {
				found = append(found, backend.StreamOrigin{Key: key, Origin: o})
			} else if o, ok := s.n.cfg.Streams.Expected(key); ok {
				granted = append(granted, backend.StreamOrigin{Key: key, Origin: o})
			}
		}
		known := s.n.cfg.Builds.Known(p.GetPool())
		resp.Builds = append(resp.Builds, &peerpb.PoolBuilds{Pool: p.GetPool(), Builds: known.Builds, IsRead: known.IsRead, IsCurrent: known.IsCurrent})
	}
	resp.Found, resp.Granted = encodeStreamOrigins(found), encodeStreamOrigins(granted)
	return connect.NewResponse(resp), nil
}
