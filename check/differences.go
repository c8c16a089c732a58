package check

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/vanilladrift/vanilladrift/route"
)

// differ collects what differs between two versions.
type differ struct{ changes []string }

func newDiffer() *differ { return &differ{changes: []string{}} }

func (d *differ) addf(format string, args ...any) {
	d.changes = append(d.changes, fmt.Sprintf(format, args...))
}

// addField adds a change of a value of something.
func (d *differ) addField(name, of string, from, to any) {
	if !reflect.DeepEqual(from, to) {
		d.addf("%s of %s from %v to %v", name, of, orNone(from), orNone(to))
	}
}

// addSwitch adds a change of something that an entry does or does not.
func (d *differ) addSwitch(of, does string, from, to bool) {
	switch {
	case from && !to:
		d.addf("%s %s no longer", of, does)
	case to && !from:
		d.addf("%s %s now", of, does)
	}
}

// orNone returns v, or a word for it if it is an empty text.
func orNone(v any) any {
	if v == "" {
		return "none"
	}
	return v
}

// DifferencesFrom returns what a configuration changes compared with another one, as sentences. The order
// of entries has no meaning, unless several match the same requests, which is a finding. Keys are counted
// and not named.
func (c Configuration) DifferencesFrom(before Configuration) []string {
	d := newDiffer()
	compareLists(d, "route", before.Routes, c.Routes, func(r route.Route) string { return r.Name }, d.compareRoutes)
	compareLists(d, "pool", before.Pools, c.Pools, func(p route.Pool) string { return p.Name }, d.comparePools)
	d.addSwitch("a route that is not public", "needs an account", before.HasAccounts, c.HasAccounts)
	compareLists(d, "account", before.Accounts, c.Accounts, func(a route.AccountKeys) string { return a.Account.Name }, d.compareAccounts)
	d.compareKeys(before.Accounts, c.Accounts)
	d.addField("size of a head", "requests", before.Limits.HeaderBytes, c.Limits.HeaderBytes)
	d.addField("size of a body", "requests", before.Limits.BodyBytes, c.Limits.BodyBytes)
	d.addField("time for a head", "requests", before.Limits.HeaderTimeout, c.Limits.HeaderTimeout)
	d.addField("idle time", "callers' connections", before.Limits.IdleTimeout, c.Limits.IdleTimeout)
	return d.changes
}

// CheckVersion returns a finding if the version does not tell nodes that the configuration is to replace
// another one, which is in force and has other contents.
func (c Configuration) CheckVersion(inForce Configuration) []Finding {
	if c.Version > inForce.Version || len(c.DifferencesFrom(inForce)) == 0 {
		return nil
	}
	message := fmt.Sprintf("version %d is in force with other contents", c.Version)
	if c.Version < inForce.Version {
		message = fmt.Sprintf("nodes ignore version %d, since version %d is in force", c.Version, inForce.Version)
	}
	return []Finding{{Place: c.place(Part{Field: Version}), Rule: VersionNotNewer, Message: message}}
}

// compareLists compares the entries that two lists have in common, by their names, and adds the others.
func compareLists[T any](d *differ, kind string, before, after []T, name func(T) string, compare func(of string, from, to T)) {
	namesBefore, indexBefore := numberNames(before, name)
	namesAfter, indexAfter := numberNames(after, name)
	for _, n := range namesBefore {
		if _, ok := indexAfter[n]; !ok {
			d.addf("%s %s removed", kind, n)
		}
	}
	for i, n := range namesAfter {
		if j, ok := indexBefore[n]; ok {
			compare(kind+" "+n, before[j], after[i])
		} else {
			d.addf("%s %s added", kind, n)
		}
	}
}

// numberNames returns the names of entries and the index of each. The second and later entries with a
// name have a number behind it.
func numberNames[T any](list []T, name func(T) string) (names []string, index map[string]int) {
	index = make(map[string]int, len(list))
	count := make(map[string]int, len(list))
	for i, e := range list {
		n := name(e)
		if count[n]++; count[n] > 1 {
			n = fmt.Sprintf("%s (%d)", n, count[n])
		}
		names = append(names, n)
		index[n] = i
	}
	return names, index
}

func (d *differ) compareRoutes(of string, from, to route.Route) {
	d.addField("host", of, from.Host, to.Host)
	d.addField("prefix", of, from.Prefix, to.Prefix)
	if a, b := splitText(from), splitText(to); a != b {
		d.addf("%s moves from %s to %s", of, a, b)
	}
	d.addSwitch(of, "is public", from.Public, to.Public)
	d.addField("kind", of, from.Kind, to.Kind)
	d.addField("time-out", of, from.Timeout, to.Timeout)
	d.addField("target latency", of, from.TargetLatency, to.TargetLatency)
	d.addField("target gap", of, from.TargetGap, to.TargetGap)
	d.addField("priority", of, from.Priority, to.Priority)
	d.addField("number of attempts", of, from.MaxAttempts, to.MaxAttempts)
	d.addSwitch(of, "resumes streams", from.Resumable, to.Resumable)
	d.addSwitch(of, "keeps sessions at one server", from.SessionAffinity, to.SessionAffinity)
}

// splitText returns the pools of a route, with their shares if there are several.
func splitText(r route.Route) string {
	var pools []route.WeightedPool
	total := 0
	for _, s := range r.TrafficSplit {
		if s.Weight > 0 {
			pools = append(pools, s)
			total += s.Weight
		}
	}
	switch len(pools) {
	case 0:
		return "no pool"
	case 1:
		return "pool " + pools[0].Pool
	}
	var parts []string
	for _, s := range pools {
		parts = append(parts, fmt.Sprintf("%s (%.3g%%)", s.Pool, 100*float64(s.Weight)/float64(total)))
	}
	return "pools " + strings.Join(parts, ", ")
}

func (d *differ) comparePools(of string, from, to route.Pool) {
	d.addField("path of health checks", of, from.HealthPath, to.HealthPath)
	d.addField("number of connections to a server", of, from.MaxConns, to.MaxConns)
	d.addSwitch(of, "has model engines", from.Engine != nil, to.Engine != nil)
	if from.Engine == nil || to.Engine == nil {
		return
	}
	a, b := from.Engine, to.Engine
	d.addField("batch size", of, a.BatchSize, b.BatchSize)
	d.addField("KV capacity", of, a.KVCapacity, b.KVCapacity)
	d.addField("adapter slots", of, a.AdapterSlots, b.AdapterSlots)
	d.addField("tokens per event", of, a.TokensPerEvent, b.TokensPerEvent)
	d.addField("base model loads a second", of, a.LoadRate, b.LoadRate)
	d.addField("base models", of, a.Models, b.Models)
}

func (d *differ) compareAccounts(of string, from, to route.AccountKeys) {
	a, b := from.Account, to.Account
	if a.Quota.IsLimited() && b.Quota.IsLimited() && a.Quota.Unit == b.Quota.Unit {
		if x, y := a.Quota.PerSecond, b.Quota.PerSecond; x != y {
			d.addf("quota of %s from %v to %v %s a second", of, x, y, b.Quota.Unit)
		}
		d.addField("burst", of, a.Quota.Burst, b.Quota.Burst)
	} else {
		d.addField("quota", of, quotaText(a.Quota), quotaText(b.Quota))
	}
	d.addField("cost of a request without token counts", of, a.Quota.Cost(0, false), b.Quota.Cost(0, false))
	d.addField("priority", of, priorityText(a), priorityText(b))
}

func quotaText(q route.Quota) string {
	if !q.IsLimited() {
		return "no limit"
	}
	return fmt.Sprintf("%v %s a second, burst %v", q.PerSecond, q.Unit, q.Burst)
}

func priorityText(a route.Account) string {
	if !a.HasPriority {
		return "none"
	}
	return fmt.Sprint(a.Priority)
}

// compareKeys adds the keys that accounts get, lose, or pass to another.
func (d *differ) compareKeys(before, after []route.AccountKeys) {
	from, to := keyOwners(before), keyOwners(after)
	moved := make(map[string]bool)
	count := make(map[string]int)
	var order []string
	add := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		if count[text]++; count[text] == 1 {
			order = append(order, text)
		}
	}
	for _, a := range before {
		for _, key := range uniqueKeys(a) {
			name := a.Account.Name
			next := to[key]
			switch {
			case slices.Contains(next, name):
			case len(next) == 1 && len(from[key]) == 1:
				moved[key] = true
				add("of account %s moved to account %s", name, next[0])
			default:
				add("of account %s removed", name)
			}
		}
	}
	for _, a := range after {
		for _, key := range uniqueKeys(a) {
			if name := a.Account.Name; !moved[key] && !slices.Contains(from[key], name) {
				add("of account %s added", name)
			}
		}
	}
	for _, text := range order {
		if n := count[text]; n > 1 {
			d.addf("%d keys %s", n, text)
			continue
		}
		d.addf("key %s", text)
	}
}

// keyOwners returns the names of the accounts that have each key.
func keyOwners(accounts []route.AccountKeys) map[string][]string {
	owners := make(map[string][]string)
	for _, a := range accounts {
		for _, key := range uniqueKeys(a) {
			owners[key] = append(owners[key], a.Account.Name)
		}
	}
	return owners
}

// uniqueKeys returns the keys of an account, each once and in order.
func uniqueKeys(a route.AccountKeys) []string {
	var keys []string
	for _, key := range a.Keys {
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
