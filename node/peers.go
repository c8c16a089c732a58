package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/peer/peerpb/peerpbconnect"
)

const maxPeerMessageBytes = 16 << 20

// peerServer implements the Peer service.
type peerServer struct {
	n *Node
}

var _ peerpbconnect.PeerHandler = (*peerServer)(nil)

// Peers returns the handler for other nodes.
func (n *Node) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerHandler(&peerServer{n}, connect.WithReadMaxBytes(maxPeerMessageBytes)))
	return mux
}

// Heartbeat implements the Peer service.
func (s *peerServer) Heartbeat(_ context.Context, req *connect.Request[peerpb.HeartbeatRequest]) (*connect.Response[peerpb.HeartbeatResponse], error) {
	if engine := req.Msg.GetReleased(); engine != "" {
		s.n.takeOverReleased(engine)
	}
	s.n.ObserveGeneration(req.Msg.GetGeneration())
	s.n.recordPromptEvents(req.Msg)
	s.n.recordRequestEvents(req.Msg)
	now, generation := time.Now(), s.n.generations.Current()
	id, holding := s.n.session.identity()
	return connect.NewResponse(&peerpb.HeartbeatResponse{
		Node: s.n.cfg.Name, Process: s.n.process, Revision: s.n.store.Tree().Rev(), Holding: holding, Session: id, Generation: generation, Quarantines: s.n.quarantines(), HeldRequests: s.n.heldRequests(),
		// A witness without a lease may have been fenced, and then counts as having promised
		// not to agree.
		Agreed: req.Msg.GetHold() && holding && s.n.promises.Consent(req.Msg.GetProcess(), req.Msg.GetGeneration(), req.Msg.GetSessionVersion(), now),
	}), nil
}

// Promise implements the Peer service.
func (s *peerServer) Promise(_ context.Context, req *connect.Request[peerpb.PromiseRequest]) (*connect.Response[peerpb.PromiseResponse], error) {
	now := time.Now()
	id, _ := s.n.session.identity()
	return connect.NewResponse(&peerpb.PromiseResponse{
		Session: id, Promised: s.n.promises.Promise(req.Msg.GetProcess(), req.Msg.GetGeneration(), req.Msg.GetSessionVersion(), now),
	}), nil
}

// Admit implements the Peer service.
func (s *peerServer) Admit(ctx context.Context, req *connect.Request[peerpb.AdmitRequest]) (*connect.Response[peerpb.AdmitResponse], error) {
	address := ""
	if m, ok := s.n.members.get(req.Msg.GetEntry()); ok {
		address = m.Address
	}
	if address == "" || req.Msg.GetEntryProcess() == "" || req.Msg.GetRequestId() == "" {
		// Without its session row, this owner does not know the entry node's address.
		return connect.NewResponse(&peerpb.AdmitResponse{Verdict: peerpb.AdmitResponse_VERDICT_NOT_OWNER}), nil
	}
	resp := connect.NewResponse(s.n.admit(ctx, req.Msg, address))
	if ctx.Err() != nil && s.n.cfg.Streams != nil { // nobody reads the grant, if it is one
		s.n.cfg.Streams.Withdraw(decodeStreamKeys(req.Msg.GetStream()))
	}
	if resp.Msg.GetVerdict() == peerpb.AdmitResponse_VERDICT_REFUSED {
		s.n.stateHoldTime(resp.Header())
	}
	return resp, nil
}

// Release implements the Peer service.
func (s *peerServer) Release(_ context.Context, req *connect.Request[peerpb.ReleaseRequest]) (*connect.Response[peerpb.ReleaseResponse], error) {
	for _, g := range req.Msg.GetGrants() {
		if o := s.n.ownedEngine(g.GetEngine()); o != nil {
			o.release(g.GetRequestId(), g.GetAdapterMissing(), time.Duration(g.GetTokenTimeUs())*time.Microsecond)
		}
	}
	return connect.NewResponse(&peerpb.ReleaseResponse{}), nil
}

// Bar implements the Peer service.
func (s *peerServer) Bar(_ context.Context, req *connect.Request[peerpb.BarRequest]) (*connect.Response[peerpb.BarResponse], error) {
	resp := &peerpb.BarResponse{Process: s.n.process}
	for _, st := range s.n.registry.Fence(req.Msg.GetEngine(), req.Msg.GetToken()) {
		resp.Streams = append(resp.Streams, &peerpb.Stream{RequestId: st.RequestID, Adapter: st.Adapter, ShortClass: st.Short})
	}
	return connect.NewResponse(resp), nil
}

// Reconcile implements the Peer service.
func (s *peerServer) Reconcile(_ context.Context, req *connect.Request[peerpb.ReconcileRequest]) (*connect.Response[peerpb.ReconcileResponse], error) {
	return connect.NewResponse(&peerpb.ReconcileResponse{
		Process: s.n.process, InUse: s.n.registry.Reconcile(req.Msg.GetEngine(), req.Msg.GetRequestIds()),
	}), nil
}

// Yield implements the Peer service.
func (s *peerServer) Yield(_ context.Context, req *connect.Request[peerpb.YieldRequest]) (*connect.Response[peerpb.YieldResponse], error) {
	return connect.NewResponse(&peerpb.YieldResponse{
		Process: s.n.process, Yielded: s.n.hasYielded(req.Msg.GetEngine(), req.Msg.GetToken()),
	}), nil
}

// AcquireLoad implements the Peer service.
func (s *peerServer) AcquireLoad(ctx context.Context, req *connect.Request[peerpb.AcquireLoadRequest]) (*connect.Response[peerpb.AcquireLoadResponse], error) {
	s.n.loadBudget.acquireLocal(ctx, req.Msg.GetId(), int(req.Msg.GetDemand()))
	return connect.NewResponse(&peerpb.AcquireLoadResponse{}), ctx.Err()
}

// ReleaseLoad implements the Peer service.
func (s *peerServer) ReleaseLoad(_ context.Context, req *connect.Request[peerpb.ReleaseLoadRequest]) (*connect.Response[peerpb.ReleaseLoadResponse], error) {
	s.n.loadBudget.release(req.Msg.GetId(), !req.Msg.GetUnused())
	return connect.NewResponse(&peerpb.ReleaseLoadResponse{}), nil
}

// Changes implements the Peer service.
func (s *peerServer) Changes(_ context.Context, req *connect.Request[peerpb.ChangesRequest]) (*connect.Response[peerpb.ChangesResponse], error) {
	changes, ok := s.n.store.ChangesSince(req.Msg.GetAfter())
	if !ok {
		tree := s.n.store.Tree()
		resp := &peerpb.ChangesResponse{Revision: tree.Rev(), Snapshot: true}
		for _, d := range tree.AllDocs() {
			resp.Docs = append(resp.Docs, peer.EncodeDocument(d))
		}
		return connect.NewResponse(resp), nil
	}
	resp := &peerpb.ChangesResponse{Revision: s.n.store.Tree().Rev()}
	for _, c := range changes {
		resp.Changes = append(resp.Changes, peer.EncodeChange(c))
	}
	return connect.NewResponse(resp), nil
}
