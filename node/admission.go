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
	releaseAttempts  = 3
	releaseTimeout   = time.Second
	ownerChangeRetry = 200 * time.Millisecond
)

// Acquirer returns an acquirer of grants for requests that do not come through
// [Node.Callers]. hasLoaded reports whether an engine is believed to have an adapter
// loaded.
func (n *Node) Acquirer(router *engine.Router, hasLoaded func(engineName, adapter string) bool, spendRetry func() bool) *caller.Acquirer {
	return &caller.Acquirer{
		Release: func(g caller.Grant) { n.Release(g, false, 0) },
		Router:  router, Mu: new(sync.Mutex), HasLoaded: hasLoaded, SpendRetry: spendRetry,
		RequestGrant: func(ctx context.Context, engineName string, w engine.Work) (caller.Grant, error) {
			n.registry.Register(engineName, w.ID)
			g, err := n.acquireGrant(ctx, engineName, w)
			if err != nil {
				n.registry.End(engineName, w.ID)
				return g, err
			}
			if err := n.registry.Start(engineName, w.ID, g.FencingToken, w.Adapter, w.Short); err != nil {
				// The grant stays usable although its owner was replaced: the engine
				// itself refuses an adapter that it has not loaded.
				n.log.Debug("using a grant of a former owner", "engine", engineName, "err", err)
			}
			return g, nil
		},
	}
}

// Release gives back a grant from an [caller.Acquirer] of this node.
func (n *Node) Release(g caller.Grant, adapterMissing bool, tokenTime time.Duration) {
	if g.ID == "" {
		return // the request was sent without a grant
	}
	n.registry.End(g.Engine, g.ID)
	n.releaseGrant(g, adapterMissing, tokenTime)
}

// acquireGrant requests a grant from the owner of an engine, which may be this node. It
// follows one owner hint.
func (n *Node) acquireGrant(ctx context.Context, engineName string, w engine.Work) (caller.Grant, error) {
	owner := n.ownerHint(engineName)
	if r, ok := n.held.get(time.Now(), engineName, owner, &w); ok && owner != n.cfg.Name {
		n.metrics.refusedByHold(r.Reason)
		return caller.Grant{}, &r
	}
	for range 2 {
		resp, hold, err := n.requestGrant(ctx, owner, engineName, w)
		if err != nil {
			n.clearOwnerHint(engineName, owner)
			return caller.Grant{}, &caller.Refusal{Reason: engine.NoOwner, RetryAfter: ownerChangeRetry}
		}
		switch resp.GetVerdict() {
		case peerpb.AdmitResponse_VERDICT_GRANTED:
			n.setOwnerHint(engineName, owner)
			return caller.Grant{
				Engine: engineName, ID: w.ID, FencingToken: resp.GetToken(), QueueWait: time.Duration(resp.GetWaitMs()) * time.Millisecond,
				Boot: resp.GetBoot(), Build: resp.GetBuild(), Owner: owner, Stream: w.Stream,
			}, nil
		case peerpb.AdmitResponse_VERDICT_REFUSED:
			r := caller.Refusal{
				Reason:     engine.RefusalReason(resp.GetReason()),
				RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
				QueueWait:  time.Duration(resp.GetWaitMs()) * time.Millisecond,

				AdapterRequests: int(resp.GetAdapterRequests()),
			}
			r.ByCost, r.Account = resp.GetByCost(), resp.GetRefusedAccount()
			hold = max(hold, time.Duration(resp.GetHoldMs())*time.Millisecond)
			n.held.hold(time.Now(), engineName, owner, &w, r, hold, n.LiveNodes())
			return caller.Grant{}, &r
		}
		n.clearOwnerHint(engineName, owner)
		next := resp.GetOwnerHint()
		if next == "" || next == owner {
			break
		}
		owner = next
	}
	return caller.Grant{}, &caller.Refusal{Reason: engine.NoOwner, RetryAfter: ownerChangeRetry}
}

func (n *Node) ownerHint(engineName string) string {
	n.mu.Lock()
	hint := n.ownerHints[engineName]
	n.mu.Unlock()
	if hint != "" {
		return hint
	}
	dataCenter := ""
	if b, ok := n.store.Tree().Backend(engineName); ok {
		dataCenter = b.DataCenter
	}
	return n.members.preferredOwner(engineName, dataCenter)
}

func (n *Node) clearOwnerHint(engineName, owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerHints[engineName] == owner {
		delete(n.ownerHints, engineName)
	}
}

// requestGrant asks the owner for a grant. hold is how long the owner wants a refusal to be held.
func (n *Node) requestGrant(ctx context.Context, owner, engineName string, w engine.Work) (resp *peerpb.AdmitResponse, hold time.Duration, err error) {
	req := &peerpb.AdmitRequest{
		Engine: engineName, RequestId: w.ID, Adapter: w.Adapter, Entry: n.cfg.Name, EntryProcess: n.process,
		ShortClass: w.Short, Resumed: w.Resumed, Tokens: int32(w.ExpectedTokens), PromptTokens: int32(w.PromptTokens),
		TimeLeftMs: time.Until(w.Deadline).Milliseconds(), MaxWaitMs: w.MaxWait.Milliseconds(),
		FirstByMs: millisUntil(w.FirstTokenDeadline), AimByMs: millisUntil(w.FirstTokenTarget), Limit: n.knownLimit(engineName),
		Priority: int32(w.Priority), Account: w.Account, Stream: []byte(w.Stream),
	}
	if owner == n.cfg.Name {
		return n.admit(ctx, req, n.cfg.Address), 0, nil
	}
	m, ok := n.members.get(owner)
	if !ok {
		return nil, 0, &caller.Refusal{Reason: engine.NoOwner}
	}
	client, ctx, cancel, ok := n.members.beginCall(ctx, m.Address)
	if !ok {
		return nil, 0, &caller.Refusal{Reason: engine.NoOwner}
	}
	defer cancel()
	streams := n.streamSharing.carried(owner)
	req.Streams = encodeStreamOrigins(streams)
	r, err := client.Admit(ctx, connect.NewRequest(req))
	if err != nil {
		n.streamSharing.lost(owner, streams)
		if ctx.Err() == nil { // otherwise nobody waits for the grant, and no stream begins
			n.WithdrawStream(caller.Grant{Owner: owner, Stream: w.Stream})
		}
		return nil, 0, err
	}
	return r.Msg, statedHoldTime(r.Header()), nil
}

// millisUntil returns the milliseconds until t, at least 1, and 0 for the zero time.
func millisUntil(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, time.Until(t).Milliseconds())
}

func timeAfterMillis(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// admit decides on a request for a grant of an engine that this node may own. It does
// not check the lease: a later owner fences the grants of this one, and while the table
// is down there can be no later owner.
func (n *Node) admit(ctx context.Context, req *peerpb.AdmitRequest, address string) *peerpb.AdmitResponse {
	n.learnLimit(req.GetLimit())
	if n.cfg.Streams != nil {
		n.cfg.Streams.Learn(time.Now(), decodeStreamOrigins(req.GetStreams()))
	}
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
		ID: req.GetRequestId(), Adapter: req.GetAdapter(), EntryNode: req.GetEntryProcess(), Short: req.GetShortClass(), Resumed: req.GetResumed(),
		ExpectedTokens: int(req.GetTokens()), PromptTokens: int(req.GetPromptTokens()),
		Priority: int(req.GetPriority()), Account: req.GetAccount(),
		Deadline:           now.Add(time.Duration(req.GetTimeLeftMs()) * time.Millisecond),
		MaxWait:            time.Duration(req.GetMaxWaitMs()) * time.Millisecond,
		FirstTokenDeadline: timeAfterMillis(now, req.GetFirstByMs()), FirstTokenTarget: timeAfterMillis(now, req.GetAimByMs()),
	}, address)
	byCost := n.isByCost()
	if byCost {
		n.metrics.decided(act)
	}
	if act.Kind == engine.Grant {
		boot, build := o.lastStart()
		n.recordGranted(req.GetStream(), o.name, boot, build)
		return &peerpb.AdmitResponse{
			Verdict: peerpb.AdmitResponse_VERDICT_GRANTED, Token: o.token, WaitMs: o.expectedWait(now).Milliseconds(), Boot: boot, Build: build,
		}
	}
	n.metrics.refused(act.Reason)
	running, waiting := o.requestCounts()
	n.log.Info("admission refused", "id", callerRequestID(req.GetRequestId()), "engine", o.name, "adapter", req.GetAdapter(), "reason", act.Reason,
		"wait-ms", act.Wait.Milliseconds(), "max-wait-ms", req.GetMaxWaitMs(), "left-ms", req.GetTimeLeftMs(), "running", running, "waiting", waiting,
		"priority", req.GetPriority(), "account", req.GetAccount(), "by-cost", byCost, "hold-ms", act.Hold.Milliseconds())
	resp := &peerpb.AdmitResponse{
		Verdict: peerpb.AdmitResponse_VERDICT_REFUSED, Reason: string(act.Reason),
		RetryAfterMs: act.RetryAfter.Milliseconds(), WaitMs: act.Wait.Milliseconds(), AdapterRequests: int32(act.AdapterRequests),
		ByCost: byCost, HoldMs: act.Hold.Milliseconds(),
	}
	if act.IsOverShare {
		resp.RefusedAccount = req.GetAccount()
	}
	return resp
}

// callerRequestID returns the caller's request ID from the ID of an attempt.
func callerRequestID(attempt string) string {
	id, _, _ := strings.Cut(attempt, ".")
	return id
}

// releaseGrant gives a grant back to the engine's current owner. If all attempts fail,
// the owner finds the unused grant when it reconciles grants.
func (n *Node) releaseGrant(g caller.Grant, adapterMissing bool, tokenTime time.Duration) {
	if o := n.ownedEngine(g.Engine); o != nil {
		o.release(g.ID, adapterMissing, tokenTime)
		return
	}
	n.tasks.Go(func() {
		for range releaseAttempts {
			if n.sendRelease(g, adapterMissing, tokenTime) {
				return
			}
			sleep(n.ctx, ownerChangeRetry)
		}
	})
}

func (n *Node) sendRelease(g caller.Grant, adapterMissing bool, tokenTime time.Duration) bool {
	m, ok := n.members.get(n.ownerHint(g.Engine))
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
	defer cancel()
	_, err := n.members.link(m.Address).client.Release(ctx, connect.NewRequest(&peerpb.ReleaseRequest{Grants: []*peerpb.Released{{
		Engine: g.Engine, RequestId: g.ID, Token: g.FencingToken, AdapterMissing: adapterMissing, TokenTimeUs: tokenTime.Microseconds(),
	}}}))
	return err == nil
}
