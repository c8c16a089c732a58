package route

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Limits are the limits on the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version int64
	limits  Limits
	byHost  map[string][]Route // ordered by prefix length, longest first
	pools   map[string]Pool

	hasAccounts bool
	byKey       map[string]*Account // nil for a key that several accounts have
	quotas      map[string]Quota    // by account
	conflicts   []string            // names of the accounts with such keys, sorted
}

// NewTable returns the table of the given routes and pools.
func NewTable(version int64, routes []Route, pools []Pool, limits Limits) *Table {
	t := &Table{version: version, limits: limits, byHost: make(map[string][]Route), pools: make(map[string]Pool)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range pools {
		t.pools[p.Name] = p
	}
	return t
}

// WithAccounts returns a copy of the table with client accounts. A key that several accounts have
// authenticates none of them, and an empty one none at all.
func (t *Table) WithAccounts(accounts []AccountKeys) *Table {
	out := *t
	out.hasAccounts, out.byKey, out.quotas = true, make(map[string]*Account), make(map[string]Quota)
	conflicting := make(map[string]bool)
	owners := make(map[string]string)
	for i := range accounts {
		a := accounts[i].Account
		out.quotas[a.Name] = a.Quota
		for _, key := range accounts[i].Keys {
			owner, isTaken := owners[key]
			switch {
			case key == "":
			case !isTaken:
				owners[key], out.byKey[key] = a.Name, &a
			case owner != a.Name:
				out.byKey[key] = nil
				conflicting[owner], conflicting[a.Name] = true, true
			}
		}
	}
	out.conflicts = slices.Sorted(maps.Keys(conflicting))
	return &out
}

// HasAccounts reports whether callers of routes that are not public must authenticate.
func (t *Table) HasAccounts() bool { return t.hasAccounts }

// Account returns the account that a key authenticates.
func (t *Table) Account(key string) (*Account, bool) {
	a := t.byKey[key]
	return a, a != nil
}

// Quota returns the quota of the account with the given name, and whether there is such an account.
func (t *Table) Quota(account string) (Quota, bool) {
	q, ok := t.quotas[account]
	return q, ok
}

// ConflictingAccounts returns the names of the accounts that have a key in common with another,
// sorted.
func (t *Table) ConflictingAccounts() []string { return t.conflicts }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools, sorted by name.
func (t *Table) Pools() []Pool {
	list := make([]Pool, 0, len(t.pools))
	for _, p := range t.pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// ResumablePools returns the names of the pools that streams may be resumed in, sorted.
func (t *Table) ResumablePools() []string {
	pools := make(map[string]bool)
	for _, list := range t.byHost {
		for i := range list {
			if !list[i].IsResumableStream() {
				continue
			}
			for _, s := range list[i].TrafficSplit {
				pools[s.Pool] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(pools))
}

// Match returns the route with the longest prefix of the path, and the first one of several with the
// same prefix. It ignores a port in the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	list, ok := t.byHost[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			list = t.byHost[h]
		}
	}
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}
