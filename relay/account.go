package relay

import (
	"context"
	"math"

	"github.com/vanilladrift/vanilladrift/route"
)

// authenticate finds the client account of the request, if its route needs one.
func (x *exchange) authenticate() error {
	if !x.table.HasAccounts() || x.route.Public {
		return nil
	}
	a, ok := x.table.Account(x.head.Key)
	if !ok {
		return x.unauthorized(x.table)
	}
	x.account = a
	return nil
}

// unauthorized returns the error for a request whose key authenticates no account in t. The key may
// have been added by a change that the node has not read, or has read since; the caller is then told
// to come back.
func (x *exchange) unauthorized(t *route.Table) error {
	const op = "authenticate"
	isCurrent := x.handler.IsTableCurrent == nil || x.handler.IsTableCurrent()
	if !isCurrent || x.handler.Table() != t {
		return x.rejection(op, NotReady, "the node knows no account with this key, and its configuration may be out of date", otherNodeRetryAfter)
	}
	return x.rejection(op, Unauthorized, "no account has this key", 0)
}

// checkAccount reports an error if the key of the request has been taken away since it was
// received. It is called before each send, since the request may have waited.
func (x *exchange) checkAccount() error {
	if x.account == nil {
		return nil
	}
	t := x.handler.Table()
	if t == x.table || !t.HasAccounts() {
		return nil
	}
	if a, ok := t.Account(x.head.Key); !ok || a.Name != x.account.Name {
		return x.unauthorized(t)
	}
	return nil
}

// accountName returns the name of the request's account, or an empty text.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// priority returns the priority of the request, where 0 is the highest.
func (x *exchange) priority() int { return route.PriorityOf(x.route, x.account) }

// takeQuota takes the cost of the request from the quota of its account. giveBack returns it.
func (x *exchange) takeQuota(ctx context.Context) (giveBack func(), err error) {
	if x.account == nil || x.handler.TakeQuota == nil || !x.account.Quota.IsLimited() {
		return func() {}, nil
	}
	tokens := x.head.PromptTokens + min(x.head.MaxTokens, math.MaxInt-x.head.PromptTokens) // the caller's counts may be of any size
	cost := x.account.Quota.Cost(tokens, x.head.HasTokenCounts)
	giveBack, retryAfter, ok := x.handler.TakeQuota(ctx, x.account, cost)
	if !ok {
		return nil, &Error{Op: "limit", Kind: OverQuota, Reason: "the account has used up its quota", RetryAfter: retryAfter}
	}
	return giveBack, nil
}
