package entry

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/quota"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// maxLoadsPerEngine bounds the concurrent adapter loads of one engine, as the
// platform does.
const maxLoadsPerEngine = 4

// defaultPrefillSpeed (in prompt tokens per output token's time) and
// defaultTokenTime are first estimates of an engine's speed, from the deployments'
// data sheets: a step of 5.23 ms produces one token of each request, and prefill
// runs at 38.4 prompt tokens a millisecond.
const (
	defaultPrefillSpeed = 200
	defaultTokenTime    = 5230 * time.Microsecond
)

// platformState is the daemon's copy of the platform's store: configuration,
// adapter versions and servers.
type platformState struct {
	log             *log.Logger
	store           *settings.Store // the node's settings; installEngines writes its engines
	routes          atomic.Pointer[route.Table]
	servers         backend.Registry
	adapterVersions sync.Map      // "model/adapter" to int64
	enginesChanged  func()        // called after the engines have changed
	accountsInForce func()        // called when a configuration with client accounts is in force
	changed         chan struct{} // receives after the routes or the servers may have changed

	mu              sync.Mutex
	configRow       table.Row         // of the configuration in force
	rev             int64             // revision of the node's settings
	engineSummaries map[string]string // settings of each engine by its ID, to detect changes
	// serversGeneration is the generation of the store in which the servers were last read.
	serversGeneration int64
}

// replaceOperatorRows applies a complete read of the operator's rows.
func (s *platformState) replaceOperatorRows(snapshot table.Snapshot) {
	s.applyOperatorRows(snapshot.Rows)
}

func (s *platformState) applyOperatorChanges(changes table.Changes) {
	var rows []table.Row
	for _, row := range changes.Rows {
		if !row.Removed {
			rows = append(rows, row.Row)
		}
	}
	s.applyOperatorRows(rows)
}

// applyOperatorRows applies rows in the order in which they were written. Of several configurations it
// installs only the newest valid one: a node that decoded each of them would be the later the more it
// has missed.
func (s *platformState) applyOperatorRows(rows []table.Row) {
	var configs []table.Row
	for _, row := range rows {
		key := strings.TrimPrefix(row.Key, platform.OperatorTable+"/")
		switch {
		case platform.IsConfigKey(key):
			configs = append(configs, row)
		case platform.IsAdapterVersionKey(key):
			v, err := platform.DecodeAdapterVersion(row)
			if err != nil {
				s.log.Error("ignoring invalid adapter version row", "key", key, "err", err)
				continue
			}
			s.setAdapterVersion(v)
		}
	}
	if len(configs) > 1 {
		slices.Reverse(configs)
		slices.SortStableFunc(configs, func(a, b table.Row) int {
			return cmp.Compare(platform.ConfigVersion(b), platform.ConfigVersion(a))
		})
	}
	for _, row := range configs {
		if s.applyConfiguration(row) {
			return
		}
	}
}

// applyConfiguration reports whether the configuration is in force now.
func (s *platformState) applyConfiguration(row table.Row) bool {
	t, unknown, err := platform.DecodeConfig(row)
	if err != nil {
		s.log.Error("ignoring invalid configuration; keeping the one in force", "row-version", row.Version, "err", err)
		return false
	}
	for _, err := range unknown {
		s.log.Warn("sending each request of a route once at most", "row-version", row.Version, "err", err)
	}
	if names := t.ConflictingAccounts(); len(names) > 0 {
		s.log.Error("client accounts have keys in common; these keys authenticate nobody", "row-version", row.Version, "accounts", strings.Join(names, ","))
	}
	return s.setRoutes(t, row)
}

// setRoutes puts a configuration in force unless the one in force has a later version, or
// the same version from a row that was written later. The operator may write a version
// again with other contents if a restore of the store lost it. setRoutes reports whether the
// configuration is in force now.
func (s *platformState) setRoutes(routes *route.Table, row table.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var inForce int64
	if old := s.routes.Load(); old != nil {
		inForce = old.Version()
	}
	l := s.log.With("version", routes.Version(), "row-version", row.Version, "generation", row.Generation)
	if inForce > routes.Version() || inForce == routes.Version() && !isWrittenAfter(row, s.configRow) {
		l.Info("configuration is not newer; keeping the one in force", "in-force", inForce)
		return false
	}
	same := bytes.Equal(row.Value, s.configRow.Value)
	s.configRow = row
	if same {
		return true
	}
	s.routes.Store(routes)
	l.Info("configuration in force", "replaced", inForce, "pools", len(routes.Pools()), "accounts", routes.HasAccounts())
	s.installEngines()
	if routes.HasAccounts() && s.accountsInForce != nil {
		s.accountsInForce()
	}
	return true
}

// isWrittenAfter reports whether a row was written after another version of it.
func isWrittenAfter(row, other table.Row) bool {
	return cmp.Or(cmp.Compare(row.Generation, other.Generation), cmp.Compare(row.Version, other.Version)) > 0
}

func (s *platformState) setAdapterVersion(v platform.AdapterVersion) {
	name := engine.JoinAdapterName(v.Model, v.Adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.adapterVersions.Load(name); ok && old.(int64) >= v.Version {
		return
	}
	s.adapterVersions.Store(name, v.Version)
	s.log.Info("adapter version announced", "adapter", name, "version", v.Version)
}

// adapterVersion returns the newest announced version of an adapter, or 0.
func (s *platformState) adapterVersion(model, adapter string) int64 {
	v, ok := s.adapterVersions.Load(engine.JoinAdapterName(model, adapter))
	if !ok {
		return 0
	}
	return v.(int64)
}

func (s *platformState) replaceServerRows(snapshot table.Snapshot) {
	servers := make([]backend.Server, 0, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		if srv, ok := s.decodeServer(row); ok {
			servers = append(servers, srv)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers.View() != nil && snapshot.Generation != s.serversGeneration {
		s.log.Warn("the store was restored from a copy; servers without a row there may register again", "servers", len(servers), "generation", snapshot.Generation)
		s.servers.Restore(time.Now(), servers)
	} else {
		s.servers.Replace(time.Now(), servers)
	}
	s.serversGeneration = snapshot.Generation
	s.installEngines()
}

func (s *platformState) applyServerChanges(changes table.Changes) {
	now := time.Now()
	var changed []backend.Server
	for _, row := range changes.Rows {
		if row.Removed {
			s.servers.Put(changed...) // in the order of the changes
			changed = nil
			id := strings.TrimPrefix(row.Key, platform.ServersTable+"/")
			s.log.Info("server row removed", "server", id)
			s.servers.Remove(now, id)
			continue
		}
		if srv, ok := s.decodeServer(row.Row); ok {
			changed = append(changed, srv)
		}
	}
	s.servers.Put(changed...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

func (s *platformState) decodeServer(row table.Row) (backend.Server, bool) {
	row.Key = strings.TrimPrefix(row.Key, platform.ServersTable+"/")
	srv, err := platform.DecodeServer(row)
	if err != nil {
		s.log.Warn("ignoring invalid server row", "server", row.Key, "err", err)
		return srv, false
	}
	if old, ok := s.servers.View().Server(srv.ID); !ok || srv.Draining && !old.Draining || old.StartMS != srv.StartMS {
		s.log.Info("server added or changed", "server", srv.ID, "pool", srv.Pool, "address", srv.Address, "draining", srv.Draining, "born", srv.StartMS)
	}
	return srv, true
}

// updateRestoredServers removes the servers that did not register again after an outage
// or a restore of the store, and adds those whose rows in a restored store are confirmed.
func (s *platformState) updateRestoredServers() {
	now := time.Now()
	removed, added := s.servers.RemoveMissing(now), s.servers.AddConfirmed(now)
	if len(removed)+len(added) == 0 {
		return
	}
	if len(removed) > 0 {
		s.log.Warn("servers did not come back after the outage", "servers", strings.Join(removed, ","))
	}
	if len(added) > 0 {
		s.log.Info("servers that were removed before a restore of the store are alive", "servers", strings.Join(added, ","))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

// setDraining records that a server stated in a response that it is draining.
func (s *platformState) setDraining(srv *backend.Server) {
	if !s.servers.SetDraining(srv) {
		return
	}
	s.log.Info("server is leaving; it gets no new requests", "server", srv.ID, "born", srv.StartMS)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

// installEngines writes the model engines of the configuration into the node's
// settings. The caller holds s.mu.
func (s *platformState) installEngines() {
	routes, view := s.routes.Load(), s.servers.View()
	if routes == nil || view == nil {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default: // it is to be looked at already
	}
	summaries := make(map[string]string)
	var docs []settings.Document
	for _, p := range routes.Pools() {
		if p.Engine == nil || len(p.Engine.Models) == 0 {
			continue
		}
		for _, srv := range view.Pool(p.Name) {
			d := engineDocument(p, srv)
			docs = append(docs, d)
			summaries[srv.ID] = d.Fields["address"] + d.Fields["drain"] + d.Fields["slots"] + d.Fields["kv-capacity"]
		}
	}
	if maps.Equal(summaries, s.engineSummaries) {
		return
	}
	s.engineSummaries = summaries
	s.rev++
	s.store.InstallSnapshot(s.rev, docs)
	s.enginesChanged()
}

func engineDocument(p route.Pool, srv *backend.Server) settings.Document {
	drain := "off"
	if srv.Draining {
		drain = "on"
	}
	return settings.Document{Kind: settings.Backend, Name: srv.ID, Fields: map[string]string{
		"address": srv.Address, "base-model": p.Engine.Models[0].Name, "data-center": srv.DataCenter,
		"slots": strconv.Itoa(p.Engine.AdapterSlots), "places": strconv.Itoa(p.Engine.BatchSize),
		"checks-fencing": "off", "unload-waits": "on", "max-loads": strconv.Itoa(maxLoadsPerEngine), "drain": drain,
		"prompt-speed": strconv.Itoa(defaultPrefillSpeed), "token-time": defaultTokenTime.String(), "kv-capacity": strconv.Itoa(p.Engine.KVCapacity),
	}}
}

// isUsable reports whether the server at an address may get new requests.
func (s *platformState) isUsable(address string) bool {
	view := s.servers.View()
	return view != nil && view.IsUsable(address)
}

// hasLoaded reports whether an engine has an adapter loaded, by its latest row.
func (s *platformState) hasLoaded(engineName, adapter string) bool {
	srv, ok := s.servers.View().Server(engineName)
	if !ok {
		return false
	}
	model, name := engine.SplitAdapterName(adapter)
	return adapter == "" || srv.HasLoaded(model, name)
}

// quota returns the limit of an account by the configuration in force, if it has one.
func (s *platformState) quota(account string) (quota.Limit, bool) {
	t := s.routes.Load()
	if t == nil {
		return quota.Limit{}, false
	}
	q, _ := t.Quota(account)
	return q.Limit(), q.IsLimited()
}
