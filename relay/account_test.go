package relay

import (
	"context"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// accountTable returns the configuration of a fixture with client accounts, each of which is given
// with its keys, and a route that may be public.
func accountTable(version int64, isPublic bool, accounts ...route.AccountKeys) *route.Table {
	t := route.NewTable(version, []route.Route{{
		Name: "r", Host: "a.example", Prefix: "/p/", Kind: route.Idempotent, Timeout: time.Second, MaxAttempts: 2, Public: isPublic, Priority: 1,
		TrafficSplit: []route.WeightedPool{{Pool: "plain", Weight: 1}},
	}}, []route.Pool{{Name: "plain"}, {Name: "engines", Engine: &route.Engine{TokensPerEvent: 1}}}, route.Limits{BodyBytes: 100})
	if accounts != nil {
		t = t.WithAccounts(accounts)
	}
	return t
}

func testAccount(name string, keys ...string) route.AccountKeys {
	return route.AccountKeys{Account: route.Account{Name: name, Priority: 1, HasPriority: true, Quota: route.Quota{Unit: route.TokenUnits, PerSecond: 10}}, Keys: keys}
}

// accountFixture is a fixture with client accounts.
type accountFixture struct {
	*fixture
	table     *route.Table
	isCurrent bool
	key       string // of the next request
}

func newAccountFixture(table *route.Table, replies ...reply) *accountFixture {
	f := &accountFixture{fixture: newFixture(route.Route{}, plainPool(), replies...), table: table, isCurrent: true}
	f.handler.Table = func() *route.Table { return f.table }
	f.handler.IsTableCurrent = func() bool { return f.isCurrent }
	f.handler.DecodeRequest = func(http.Header) (RequestHead, error) {
		return RequestHead{ID: "r1", Key: f.key, PromptTokens: math.MaxInt, MaxTokens: 2, HasTokenCounts: true}, nil
	}
	return f
}

func okReply() reply { return reply{head: testHead(200, ""), body: "whole"} }

// Guards against requests that are sent without a valid key, or refused for good by a node that may
// not know the key yet.
func TestAuthentication(t *testing.T) {
	accounts := []route.AccountKeys{testAccount("a", "ka", "both"), testAccount("b", "kb", "both")}
	for _, tt := range []struct {
		name, key, account string
		table              *route.Table
		isOld              bool // the configuration may be out of date
		status             int
	}{
		{"key of an account", "ka", "a", accountTable(1, false, accounts...), false, 200},
		{"and the configuration may be old", "kb", "b", accountTable(1, false, accounts...), true, 200},
		{"unknown key", "x", "", accountTable(1, false, accounts...), false, 401},
		{"unknown key, the configuration may be old", "x", "", accountTable(1, false, accounts...), true, 503},
		{"no key", "", "", accountTable(1, false, accounts...), false, 401},
		{"no key, the configuration may be old", "", "", accountTable(1, false, accounts...), true, 503},
		{"key of two accounts", "both", "", accountTable(1, false, accounts...), false, 401},
		{"no accounts", "ka", "", accountTable(1, false, []route.AccountKeys{}...).WithAccounts(nil), false, 401},
		{"public route", "x", "", accountTable(1, true, accounts...), false, 200},
		{"public route, key of an account", "ka", "", accountTable(1, true, accounts...), false, 200},
		{"configuration without accounts", "", "", accountTable(1, false), false, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newAccountFixture(tt.table, okReply())
			f.key, f.isCurrent = tt.key, !tt.isOld
			w, _ := f.serve("/p/x", "r1", "body")
			is.Equal(w.Code, tt.status)
			is.Equal(w.Header().Get("Retry-After") != "", tt.status == 503)
			is.Equal(f.events[0].Account, tt.account)
			if tt.status != 200 {
				is.Equal(len(f.servers.requests), 0)
				return
			}
			is.Equal(f.servers.requests[0].Account, tt.account)
			is.Equal(f.servers.requests[0].HasAccounts, tt.table.HasAccounts())
		})
	}
}

// Guards against a final refusal of a key that was added while the node looked it up.
func TestKeyAddedDuringTheLookUp(t *testing.T) {
	is := is.New(t)
	f := newAccountFixture(accountTable(1, false, testAccount("a", "ka")), okReply())
	f.key = "kb"
	f.handler.IsTableCurrent = func() bool {
		f.table = accountTable(2, false, testAccount("a", "ka", "kb"))
		return true
	}
	w, _ := f.serve("/p/x", "r1", "body")
	is.Equal(w.Code, 503)
	w, _ = f.serve("/p/x", "r1", "body")
	is.Equal(w.Code, 200)
}

// Guards against requests that wait while the accounts change, and then reach a server with a key
// that was taken away, under a former account, or with the key itself.
func TestAccountsChangeWhileARequestWaits(t *testing.T) {
	a := testAccount("a", "ka")
	for _, tt := range []struct {
		name, key     string
		before, after *route.Table
		isOld         bool
		status        int
	}{
		{"key taken away", "ka", accountTable(1, false, a), accountTable(2, false, testAccount("a")), false, 401},
		{"key taken away, the configuration may be old", "ka", accountTable(1, false, a), accountTable(2, false, testAccount("a")), true, 503},
		{"key becomes ambiguous", "ka", accountTable(1, false, a), accountTable(2, false, a, testAccount("b", "ka")), false, 401},
		{"key moved to another account", "ka", accountTable(1, false, a), accountTable(2, false, testAccount("b", "ka")), false, 503},
		{"other change", "ka", accountTable(1, false, a), accountTable(2, false, testAccount("a", "ka", "kb")), false, 200},
		{"first accounts, no key", "", accountTable(1, false), accountTable(2, false, a), false, 401},
		{"first accounts, key", "ka", accountTable(1, false), accountTable(2, false, a), false, 503},
		{"first accounts, public route", "ka", accountTable(1, true), accountTable(2, true, a), false, 200},
		{"route is public no longer", "x", accountTable(1, true, a), accountTable(2, false, a), false, 401},
		{"route becomes public", "ka", accountTable(1, false, a), accountTable(2, true, a), false, 503},
		{"accounts end", "ka", accountTable(1, false, a), accountTable(2, false), false, 503},
		{"route is gone", "ka", accountTable(1, false, a), route.NewTable(2, nil, nil, route.Limits{}).WithAccounts([]route.AccountKeys{a}), false, 200},
	} {
		for _, pool := range []string{"plain", "engines"} {
			t.Run(tt.name+"/"+pool, func(t *testing.T) {
				is := is.New(t)
				f := newAccountFixture(tt.before, okReply())
				change := func() { f.table, f.isCurrent = tt.after, !tt.isOld }
				f.handler.TakeTurn = func(context.Context, *backend.Server) bool { change(); return true }
				f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
					change()
					return caller.Grant{Engine: names[0], ID: w.ID}, nil
				}
				f.registry.Replace(time.Time{}, []backend.Server{{ID: "i-1", Pool: pool}})
				r, _ := tt.before.Match("a.example", "/p/x")
				r.TrafficSplit[0].Pool = pool
				f.key = tt.key
				w, _ := f.serve("/p/x", "r1", "body")
				is.Equal(w.Code, tt.status)
				is.Equal(w.Header().Get("Retry-After") != "", tt.status == 503)
				is.Equal(len(f.servers.requests) > 0, tt.status == 200)
				if tt.status == 200 {
					is.Equal(f.servers.requests[0].HasAccounts, tt.after.HasAccounts())
				}
			})
		}
	}
}

// Guards against a second attempt with a key that was taken away, and against the status 401 for a
// request that may have run.
func TestKeyTakenAwayBetweenAttempts(t *testing.T) {
	is := is.New(t)
	f := newAccountFixture(accountTable(1, false, testAccount("a", "ka")), reply{err: errors.New("connection reset")}, okReply())
	f.key = "ka"
	next := f.handler.Transport
	f.handler.Transport = func(p route.Pool) http.RoundTripper {
		f.table = accountTable(2, false, testAccount("a"))
		return next(p)
	}
	w, _ := f.serve("/p/x", "r1", "body")
	is.Equal(w.Code, 502)
	is.Equal(len(f.servers.requests), 1)
}

// Guards against work that waits at an engine's owner without the account's name and priority, and
// engines that get the route's priority.
func TestEngineWorkOfAnAccount(t *testing.T) {
	is := is.New(t)
	table := accountTable(1, false, testAccount("a", "ka"))
	r, _ := table.Match("a.example", "/p/x")
	r.TrafficSplit[0].Pool = "engines"
	f := newAccountFixture(table, okReply())
	f.registry.Replace(time.Time{}, []backend.Server{{ID: "i-1", Pool: "engines"}})
	var work engine.Work
	acquire := f.handler.Acquire
	f.handler.Acquire = func(ctx context.Context, names []string, w engine.Work) (caller.Grant, error) {
		work = w
		return acquire(ctx, names, w)
	}
	f.key = "ka"
	w, _ := f.serve("/p/x", "r1", "body")
	is.Equal(w.Code, 200)
	is.Equal(work.Account, "a")
	is.Equal(work.Priority, 4)
	is.Equal(f.servers.requests[0].Priority, 4)
}

// Guards against token counts whose sum overflows, so that a request costs nothing, and against
// requests that have not run and keep what they were charged.
func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newAccountFixture(accountTable(1, false, testAccount("a", "ka")), okReply(), reply{head: testHead(503, "notrun")}, reply{head: testHead(503, "notrun")})
		f.key = "ka"
		var cost float64
		returned, isFull := 0, false
		f.handler.TakeQuota = func(_ context.Context, _ *route.Account, c float64) (func(), time.Duration, bool) {
			cost = c
			return func() { returned++ }, 1500 * time.Millisecond, !isFull
		}
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 200)
		is.True(cost >= math.MaxInt32)
		is.Equal(returned, 0)
		w, _ = f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 503)
		is.Equal(returned, 1)
		isFull = true
		w, _ = f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 429)
		is.Equal(w.Header().Get("Retry-After"), "1.500")
		is.Equal(len(f.servers.requests), 3)
	})
}
