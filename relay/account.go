package relay

import (
	"context"
	"math"

	"github.com/vanilladrift/vanilladrift/route"
)

// authenticate finds the client account of the request, if its route needs one.
func (x *exchange) authenticate() error {
	a, ok := x.accountIn(x.table, x.route)
	if !ok {
		return x.unauthorized(x.table)
	}
	x.account, x.accounts = a, x.table
	return nil
}

// accountIn returns the account of the request by a configuration, in which r is its route. The
// account is nil if none is needed.
func (x *exchange) accountIn(t *route.Table, r *route.Route) (a *route.Account, ok bool) {
	if !t.HasAccounts() || r.Public {
		return nil, true
	}
	return t.Account(x.head.Key)
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

// checkAccount reports an error if the configuration in force gives the request another account
// than it had when it was received, or none. It is called before each send, since the request may
// have waited. Its quota and its place in queues were those of its account, so a request whose account
// is another one must come again.
func (x *exchange) checkAccount() error {
	t := x.handler.Table()
	if t == x.accounts {
		return nil
	}
	a, ok := x.accountIn(t, x.routeIn(t))
	switch {
	case !ok:
		return x.unauthorized(t)
	case nameOf(a) != x.accountName():
		return x.rejection("authenticate", NotReady, "its account has changed while it waited", otherNodeRetryAfter)
	}
	x.accounts = t
	return nil
}

// routeIn returns the route of the request in a configuration, or the one that it had when it was
// received if there is none.
func (x *exchange) routeIn(t *route.Table) *route.Route {
	if r, ok := t.Match(x.r.Host, x.r.URL.Path); ok {
		return r
	}
	return x.route
}

type accountCheckKey struct{}

// withAccountCheck returns the context of an attempt to send the request, in which
// [KeepsAccount] looks at its account. The look may come when the attempt has ended, so it uses only
// what does not change after the request was received.
func (x *exchange) withAccountCheck(ctx context.Context) context.Context {
	last := x.accounts
	return context.WithValue(ctx, accountCheckKey{}, func() bool {
		t := x.handler.Table()
		if t == last {
			return true
		}
		a, ok := x.accountIn(t, x.routeIn(t))
		return ok && nameOf(a) == x.accountName() && t.HasAccounts() == last.HasAccounts()
	})
}

// KeepsAccount reports whether a request may still be sent under its client account, given the
// context of the request to the server. A request that had to wait for a connection must not be sent
// otherwise; the error of its round trip is then a dial error.
func KeepsAccount(ctx context.Context) bool {
	check, ok := ctx.Value(accountCheckKey{}).(func() bool)
	return !ok || check()
}

func nameOf(a *route.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// accountName returns the name of the request's account, or an empty text.
func (x *exchange) accountName() string { return nameOf(x.account) }

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
