package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/quota"
	"github.com/vanilladrift/vanilladrift/route"
)

const (
	// quotaTick is the time between two looks at the clocks and at nodes that keepers have not heard from.
	quotaTick = 100 * time.Millisecond
	// quotaStop is the time between two ticks after which this node may have been replaced as keeper.
	quotaStop = 500 * time.Millisecond
	// maxQuotaHops allows for one keeper that names its successor.
	maxQuotaHops = 2
)

// quotas holds what this node spends of the quotas of client accounts, and the accounts that it is
// the keeper of. It sends nothing before the first request of an account with a quota.
type quotas struct {
	n     *Node
	start sync.Once

	mu     sync.Mutex
	leases map[string]*accountLease
	kept   keptAccounts
}

func newQuotas(n *Node) *quotas {
	q := &quotas{n: n, leases: make(map[string]*accountLease)}
	q.kept = keptAccounts{n: n, byName: make(map[string]*keptAccount), holding: make(map[string]bool)}
	return q
}

// TakeQuota takes the cost of a request from the quota of its account. giveBack returns it if the
// request has not run. If the quota is used up, ok is false and the request may come back after
// retryAfter. It waits for the keeper of the account while that answers heartbeats, up to keeperAnswerTime.
func (n *Node) TakeQuota(ctx context.Context, a *route.Account, cost float64) (giveBack func(), retryAfter time.Duration, ok bool) {
	if !a.Quota.IsLimited() || cost <= 0 {
		return func() {}, 0, true
	}
	n.quotas.begin()
	l := n.quotas.lease(a.Name)
	d := l.take(ctx, a.Quota.Limit(), cost)
	if d.Verdict != quota.Granted {
		n.metrics.quotaRefusals.Add(ctx, 1)
		return nil, d.RetryAfter, false
	}
	return func() { l.giveBack(d.Source, cost) }, 0, true
}

// ExpectQuotas prepares the node for accounts with quotas, so that it knows since when it is the keeper of
// accounts when their first requests come. Otherwise it waits as after a restart. It sends nothing.
func (n *Node) ExpectQuotas() { n.quotas.begin() }

// begin starts what runs in the background.
func (q *quotas) begin() {
	q.start.Do(func() {
		q.kept.started(q.n.bootNow())
		q.n.runEvery(quotaTick, q.kept.tick)
	})
}

func (q *quotas) lease(account string) *accountLease {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.leases[account]
	if l == nil {
		l = &accountLease{n: q.n, account: account, lease: quota.NewLease(q.n.cfg.QuotaRule)}
		q.leases[account] = l
	}
	return l
}

// ask asks the keeper of an account. If the keeper stops answering heartbeats, it calls unanswered and waits on.
func (q *quotas) ask(ctx context.Context, account string, a quota.AskFor, unanswered func()) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.n.cfg.LeaseTTL)
	defer cancel()
	keeper, address := q.kept.preferred(account)
	for range maxQuotaHops {
		if keeper == "" {
			break
		}
		if keeper == q.n.cfg.Name {
			answer, other := q.kept.decide(account, keeper, a)
			if other == (keeperName{}) {
				return answer, nil
			}
			keeper, address = other.node, other.address
			continue
		}
		resp, err := q.send(ctx, address, account, a, unanswered)
		if err != nil {
			return quota.Answer{}, err
		}
		if !resp.GetNotKeeper() {
			return decodeQuotaAnswer(resp), nil
		}
		keeper, address = resp.GetKeeper(), resp.GetKeeperAddress()
	}
	return quota.Answer{}, &Error{Op: "take quota", Kind: Unreachable, Reason: "no keeper is known"}
}

func (q *quotas) send(ctx context.Context, address, account string, a quota.AskFor, unanswered func()) (*peerpb.TakeQuotaResponse, error) {
	client, answering, end, ok := q.n.members.beginCall(ctx, address)
	if !ok {
		return nil, &Error{Op: "take quota", Kind: Unreachable, Reason: address}
	}
	defer end()
	defer context.AfterFunc(answering, unanswered)()
	q.n.metrics.quotaLeaseRequests.Add(ctx, 1)
	resp, err := client.TakeQuota(ctx, connect.NewRequest(&peerpb.TakeQuotaRequest{
		Node: q.n.cfg.Name, Account: account, Needed: a.Needed, Extra: a.Extra, Returned: a.Returned, Term: a.Term, OwnUsed: a.OwnUsed, UsesOwnShare: a.UsesOwnShare,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func decodeQuotaAnswer(m *peerpb.TakeQuotaResponse) quota.Answer {
	return quota.Answer{
		Term: m.GetTerm(), Amount: m.GetAmount(), Valid: time.Duration(m.GetValidMs()) * time.Millisecond,
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond, RefuseFrom: m.GetRefuseFrom(), IsWaiting: m.GetWaiting(),
	}
}

// mayUseOwnShare reports whether this node may use its own share of a quota, which counts the live
// nodes. Keepers reserve it until the node's session has ended.
func (q *quotas) mayUseOwnShare(l quota.Limit) bool {
	if len(q.n.members.candidateList()) == 0 {
		return false // it does not know the other nodes yet
	}
	return q.n.cfg.QuotaRule.IsSmall(l) || q.n.session.leaseValid()
}

// TakeQuota implements the Peer service.
func (s *peerServer) TakeQuota(_ context.Context, req *connect.Request[peerpb.TakeQuotaRequest]) (*connect.Response[peerpb.TakeQuotaResponse], error) {
	m := req.Msg
	s.n.quotas.begin()
	a, other := s.n.quotas.kept.decide(m.GetAccount(), m.GetNode(), quota.AskFor{
		Needed: m.GetNeeded(), Extra: m.GetExtra(), Returned: m.GetReturned(), Term: m.GetTerm(), OwnUsed: m.GetOwnUsed(), UsesOwnShare: m.GetUsesOwnShare(),
	})
	if other != (keeperName{}) {
		return connect.NewResponse(&peerpb.TakeQuotaResponse{NotKeeper: true, Keeper: other.node, KeeperAddress: other.address}), nil
	}
	return connect.NewResponse(&peerpb.TakeQuotaResponse{
		Term: a.Term, Amount: a.Amount, ValidMs: a.Valid.Milliseconds(),
		// Rounded up, since the amount is not available before.
		RetryAfterMs: (a.RetryAfter + time.Millisecond - 1).Milliseconds(), RefuseFrom: a.RefuseFrom, Waiting: a.IsWaiting,
	}), nil
}

// YieldQuota implements the Peer service.
func (s *peerServer) YieldQuota(_ context.Context, req *connect.Request[peerpb.YieldQuotaRequest]) (*connect.Response[peerpb.YieldQuotaResponse], error) {
	s.n.quotas.begin()
	level, was, other := s.n.quotas.kept.yield(req.Msg.GetAccount(), keeperName{req.Msg.GetNode(), req.Msg.GetAddress()})
	return connect.NewResponse(&peerpb.YieldQuotaResponse{WasKeeper: was, Level: level, Keeper: other.node, KeeperAddress: other.address}), nil
}

// HoldQuota implements the Peer service.
func (s *peerServer) HoldQuota(_ context.Context, req *connect.Request[peerpb.HoldQuotaRequest]) (*connect.Response[peerpb.HoldQuotaResponse], error) {
	resp := &peerpb.HoldQuotaResponse{}
	known := func(account string) bool {
		keeper, _ := s.n.quotas.kept.known(account)
		if keeper != req.Msg.GetNode() {
			return false
		}
		resp.Known = append(resp.Known, account)
		return true
	}
	for _, account := range req.Msg.GetWaiting() {
		known(account)
	}
	for _, account := range req.Msg.GetAccounts() {
		if known(account) && s.n.quotas.lease(account).hold(time.Duration(req.Msg.GetHoldMs())*time.Millisecond) {
			resp.Held = append(resp.Held, account)
		}
	}
	return connect.NewResponse(resp), nil
}
