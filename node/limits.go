package node

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// TakeTurn asks whether a request may be sent to a server now, if the server has a limit. One
// node, the same for all, decides for each server. Without a turn it returns when to ask
// again.
func (n *Node) TakeTurn(ctx context.Context, id string) (wait time.Duration, ok bool) {
	l, _ := n.cfg.Limits.Get(id)
	if !l.Limited {
		return 0, true
	}
	decider, ok := n.turnsDecider(id)
	if ok && decider.Process == n.process {
		return n.decideTurn(id)
	}
	if ok {
		resp, err := n.askForTurn(ctx, decider.Address, &peerpb.TakeTurnRequest{Limit: encodeLimit(id, l)})
		if err == nil {
			n.learnLimit(resp.GetLimit())
			return time.Duration(resp.GetWaitMs()) * time.Millisecond, resp.GetAllowed()
		}
		n.log.Debug("cannot ask for a turn at a server; taking this node's share", "server", id, "address", decider.Address, "err", err)
	}
	return n.turns.TakeOwnShare(time.Now(), id, l, n.LiveNodes())
}

// TellLimit tells the node that decides for a server what this one knows of its limit.
func (n *Node) TellLimit(id string) {
	l, known := n.cfg.Limits.Get(id)
	decider, ok := n.turnsDecider(id)
	if !known || !ok || decider.Process == n.process {
		return
	}
	n.tasks.Go(func() {
		for range releaseAttempts {
			_, err := n.askForTurn(n.ctx, decider.Address, &peerpb.TakeTurnRequest{Limit: encodeLimit(id, l), Tell: true})
			if err == nil {
				return
			}
			sleep(n.ctx, ownerChangeRetry)
		}
	})
}

// turnsDecider returns the node that decides for a server.
func (n *Node) turnsDecider(id string) (member, bool) {
	return n.members.get(n.members.preferredOwner("server-limit/"+id, ""))
}

// decideTurn decides for a server whether a request may be sent to it now.
func (n *Node) decideTurn(id string) (wait time.Duration, ok bool) {
	l, _ := n.cfg.Limits.Get(id)
	if !l.Limited {
		return 0, true
	}
	return n.turns.Take(time.Now(), id, l, n.LiveNodes())
}

func (n *Node) askForTurn(ctx context.Context, address string, req *peerpb.TakeTurnRequest) (*peerpb.TakeTurnResponse, error) {
	client, ctx, cancel, ok := n.members.beginCall(ctx, address)
	if !ok {
		return nil, &Error{Op: "take turn", Kind: Unreachable, Reason: address}
	}
	defer cancel()
	ctx, cancelCall := context.WithTimeout(ctx, n.cfg.ProbeTimeout)
	defer cancelCall()
	resp, err := client.TakeTurn(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// TakeTurn implements the Peer service.
func (s *peerServer) TakeTurn(_ context.Context, req *connect.Request[peerpb.TakeTurnRequest]) (*connect.Response[peerpb.TakeTurnResponse], error) {
	id := req.Msg.GetLimit().GetServer()
	s.n.learnLimit(req.Msg.GetLimit())
	resp := &peerpb.TakeTurnResponse{Limit: s.n.knownLimit(id)}
	if !req.Msg.GetTell() {
		wait, ok := s.n.decideTurn(id)
		resp.Allowed, resp.WaitMs = ok, wait.Milliseconds()
	}
	return connect.NewResponse(resp), nil
}

func encodeLimit(id string, l backend.Limit) *peerpb.ServerLimit {
	return &peerpb.ServerLimit{Server: id, StartMs: l.StartMS, Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: time.Since(l.At).Milliseconds()}
}

// knownLimit returns what this node knows of the limit of a server, for messages, or nil.
func (n *Node) knownLimit(id string) *peerpb.ServerLimit {
	l, ok := n.cfg.Limits.Get(id)
	if !ok {
		return nil
	}
	return encodeLimit(id, l)
}

// learnLimit takes what another node knows of the limit of a server.
func (n *Node) learnLimit(m *peerpb.ServerLimit) {
	if m.GetServer() == "" {
		return
	}
	now := time.Now()
	l := backend.Limit{StartMS: m.GetStartMs(), Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)}
	if n.cfg.Limits.Merge(now, m.GetServer(), l) {
		n.log.Info("learned another limit of a server from a node", "server", m.GetServer(), "born", l.StartMS, "limited", l.Limited, "per-second", l.PerSecond)
	}
}

// updateRateLimit hands the engine's limit to its scheduler. The caller must hold o.mu.
func (o *ownedEngine) updateRateLimit(now time.Time) {
	l, _ := o.n.cfg.Limits.Get(o.name)
	limited := l.Limited && (o.boot == "" || o.boot == strconv.FormatInt(l.StartMS, 10))
	o.apply(o.sched.SetRateLimit(now, l.PerSecond, limited))
}
