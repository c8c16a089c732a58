package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

const (
	releaseTries   = 3
	releaseTimeout = time.Second
	movedRetry     = 200 * time.Millisecond
)

// Acquirer returns what finds engines for requests that do not come through
// [Node.Callers]. Holds tells which engines are believed to hold an adapter.
func (n *Node) Acquirer(router *engine.Router, holds func(engineName, adapter string) bool, retry func() bool) *caller.Acquirer {
	return &caller.Acquirer{
		Release: func(g caller.Grant) { n.Release(g, false, 0) },
		Router:  router, Mu: new(sync.Mutex), HoldsAdapter: holds, SpendRetry: retry,
		RequestGrant: func(ctx context.Context, engineName string, w engine.Work) (caller.Grant, error) {
			n.registry.Register(engineName, w.ID)
			g, err := n.acquire(ctx, engineName, w)
			if err != nil {
				n.registry.End(engineName, w.ID)
				return g, err
			}
			if err := n.registry.Start(engineName, w.ID, g.FencingToken, w.Adapter, w.Short); err != nil {
				// Under an older owner's grant the engine itself still refuses what
				// it does not hold.
				n.log.Debug("grant of an earlier owner", "engine", engineName, "err", err)
			}
			return g, nil
		},
	}
}

// Release gives back a grant that an [caller.Acquirer] of this node found.
func (n *Node) Release(g caller.Grant, missing bool, tokenTime time.Duration) {
	if g.ID == "" {
		return // the request went without a grant
	}
	n.registry.End(g.Engine, g.ID)
	n.release(g, missing, tokenTime)
}

// acquire asks the owner of an engine for a grant, wherever it is.
func (n *Node) acquire(ctx context.Context, engineName string, w engine.Work) (caller.Grant, error) {
	owner := n.ownerHint(engineName)
	for range 2 {
		resp, err := n.askOwner(ctx, owner, engineName, w)
		if err != nil {
			n.forgetHint(engineName, owner)
			return caller.Grant{}, &caller.Refusal{Reason: engine.Moved, RetryAfter: movedRetry}
		}
		switch resp.GetVerdict() {
		case peerpb.AdmitResponse_VERDICT_GRANTED:
			n.hint(engineName, owner)
			return caller.Grant{
				Engine: engineName, ID: w.ID, FencingToken: resp.GetToken(), QueueWait: time.Duration(resp.GetWaitMs()) * time.Millisecond,
			}, nil
		case peerpb.AdmitResponse_VERDICT_REFUSED:
			return caller.Grant{}, &caller.Refusal{
				Reason:     engine.RefusalReason(resp.GetReason()),
				RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
				QueueWait:  time.Duration(resp.GetWaitMs()) * time.Millisecond,
			}
		}
		n.forgetHint(engineName, owner)
		next := resp.GetOwnerHint()
		if next == "" || next == owner {
			break
		}
		owner = next
	}
	return caller.Grant{}, &caller.Refusal{Reason: engine.Moved, RetryAfter: movedRetry}
}

func (n *Node) ownerHint(engineName string) string {
	n.mu.Lock()
	hint := n.hints[engineName]
	n.mu.Unlock()
	if hint != "" {
		return hint
	}
	dataCenter := ""
	if b, ok := n.store.Tree().Backend(engineName); ok {
		dataCenter = b.DataCenter
	}
	return n.members.wantedOwner(engineName, dataCenter)
}

func (n *Node) forgetHint(engineName, owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hints[engineName] == owner {
		delete(n.hints, engineName)
	}
}

func (n *Node) askOwner(ctx context.Context, owner, engineName string, w engine.Work) (*peerpb.AdmitResponse, error) {
	req := &peerpb.AdmitRequest{
		Engine: engineName, RequestId: w.ID, Adapter: w.Adapter, Entry: n.cfg.Name, EntryProcess: n.process,
		ShortClass: w.Short, Tokens: int32(w.ExpectedTokens), PromptTokens: int32(w.PromptTokens),
		TimeLeftMs: time.Until(w.Deadline).Milliseconds(), MaxWaitMs: w.MaxWait.Milliseconds(),
		FirstByMs: untilMs(w.FirstTokenDeadline), AimByMs: untilMs(w.FirstTokenTarget),
	}
	if owner == n.cfg.Name {
		return n.admit(ctx, req, n.cfg.Address), nil
	}
	m, ok := n.members.get(owner)
	if !ok {
		return nil, &caller.Refusal{Reason: engine.Moved}
	}
	client, ctx, cancel, ok := n.members.reachable(ctx, m.Address)
	if !ok {
		return nil, &caller.Refusal{Reason: engine.Moved}
	}
	defer cancel()
	resp, err := client.Admit(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// untilMs returns the time left in milliseconds, and 0 for the zero time.
func untilMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, time.Until(t).Milliseconds())
}

func fromMs(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// admit answers a request for a grant on an engine that this node may own. It
// does not look at the lease: a later owner bars the grants of this one, and
// while the table is down there can be no later owner.
func (n *Node) admit(ctx context.Context, req *peerpb.AdmitRequest, address string) *peerpb.AdmitResponse {
	o := n.ownedEngine(req.GetEngine())
	now := time.Now()
	if o == nil {
		hint := n.ownerHint(req.GetEngine())
		if hint == n.cfg.Name {
			hint = ""
		}
		return &peerpb.AdmitResponse{Verdict: peerpb.AdmitResponse_VERDICT_NOT_OWNER, OwnerHint: hint}
	}
	act := o.submit(ctx, engine.Work{
		ID: req.GetRequestId(), Adapter: req.GetAdapter(), EntryNode: req.GetEntryProcess(), Short: req.GetShortClass(),
		ExpectedTokens: int(req.GetTokens()), PromptTokens: int(req.GetPromptTokens()),
		Deadline:           now.Add(time.Duration(req.GetTimeLeftMs()) * time.Millisecond),
		MaxWait:            time.Duration(req.GetMaxWaitMs()) * time.Millisecond,
		FirstTokenDeadline: fromMs(now, req.GetFirstByMs()), FirstTokenTarget: fromMs(now, req.GetAimByMs()),
	}, address)
	if act.Kind == engine.Grant {
		return &peerpb.AdmitResponse{Verdict: peerpb.AdmitResponse_VERDICT_GRANTED, Token: o.token, WaitMs: o.wait(now).Milliseconds()}
	}
	n.metrics.refused(act.Reason)
	running, waiting := o.queue()
	n.log.Info("admission refused", "id", requestOf(req.GetRequestId()), "engine", o.name, "adapter", req.GetAdapter(), "reason", act.Reason,
		"wait-ms", act.Wait.Milliseconds(), "max-wait-ms", req.GetMaxWaitMs(), "left-ms", req.GetTimeLeftMs(), "running", running, "waiting", waiting)
	return &peerpb.AdmitResponse{
		Verdict: peerpb.AdmitResponse_VERDICT_REFUSED, Reason: string(act.Reason),
		RetryAfterMs: act.RetryAfter.Milliseconds(), WaitMs: act.Wait.Milliseconds(),
	}
}

// requestOf returns the caller's request id of an attempt's id.
func requestOf(attempt string) string {
	id, _, _ := strings.Cut(attempt, ".")
	return id
}

// release gives a grant back to the engine's present owner. When that fails,
// the owner finds out by reconciling.
func (n *Node) release(g caller.Grant, missing bool, tokenTime time.Duration) {
	if o := n.ownedEngine(g.Engine); o != nil {
		o.release(g.ID, missing, tokenTime)
		return
	}
	n.tasks.Go(func() {
		for range releaseTries {
			if n.sendRelease(g, missing, tokenTime) {
				return
			}
			sleep(n.ctx, movedRetry)
		}
	})
}

func (n *Node) sendRelease(g caller.Grant, missing bool, tokenTime time.Duration) bool {
	m, ok := n.members.get(n.ownerHint(g.Engine))
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
	defer cancel()
	_, err := n.members.link(m.Address).client.Release(ctx, connect.NewRequest(&peerpb.ReleaseRequest{Grants: []*peerpb.Released{{
		Engine: g.Engine, RequestId: g.ID, Token: g.FencingToken, AdapterMissing: missing, TokenTimeUs: tokenTime.Microseconds(),
	}}}))
	return err == nil
}
