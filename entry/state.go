package entry

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// maxAdapterLoads is how many adapters may be on their way to one engine: the
// platform's bound.
const maxAdapterLoads = 4

// promptSpeed and tokenTime are first estimates of an engine's speed, from the
// deployments' sheets: a step of 5.23 ms makes one token of each request and
// reads 38.4 prompt tokens a millisecond.
const (
	promptSpeed = 200
	tokenTime   = 5230 * time.Microsecond
)

// state is what the daemon believes, from the platform's store.
type state struct {
	log      *log.Logger
	store    *settings.Store // the node's settings, of which the engines are made here
	table    atomic.Pointer[route.Table]
	servers  backend.Registry
	versions sync.Map // "model/adapter" to int64
	settle   func()   // told when the engines have changed

	mu      sync.Mutex
	rev     int64             // of the node's settings
	engines map[string]string // what the settings say of each engine, to see changes
}

// resetOperator takes a whole reading of the operator's rows.
func (s *state) resetOperator(rows []table.Row) {
	for _, row := range rows {
		s.operatorRow(row)
	}
}

func (s *state) applyOperator(ch table.Changes) {
	for _, row := range ch.Rows {
		if !row.Removed {
			s.operatorRow(row.Row)
		}
	}
}

func (s *state) operatorRow(row table.Row) {
	key := strings.TrimPrefix(row.Key, platform.OperatorTable+"/")
	switch {
	case platform.IsConfigKey(key):
		t, err := platform.DecodeConfig(row)
		if err != nil {
			s.log.Error("configuration ignored", "row-version", row.Version, "err", err)
			return
		}
		s.setTable(t)
	case platform.IsAdapterVersionKey(key):
		v, err := platform.DecodeAdapterVersion(row)
		if err != nil {
			s.log.Error("adapter version ignored", "key", key, "err", err)
			return
		}
		s.setVersion(v)
	}
}

// setTable puts a configuration in force unless a later one is.
func (s *state) setTable(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.Version() >= t.Version() {
		return
	}
	s.table.Store(t)
	s.log.Info("configuration in force", "version", t.Version(), "pools", len(t.Pools()))
	s.installEngines()
}

func (s *state) setVersion(v platform.AdapterVersion) {
	name := engine.JoinAdapterName(v.Model, v.Adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.versions.Load(name); ok && old.(int64) >= v.Version {
		return
	}
	s.versions.Store(name, v.Version)
	s.log.Info("adapter version announced", "adapter", name, "version", v.Version)
}

// version returns the newest announced version of an adapter, or 0.
func (s *state) version(model, adapter string) int64 {
	v, ok := s.versions.Load(engine.JoinAdapterName(model, adapter))
	if !ok {
		return 0
	}
	return v.(int64)
}

func (s *state) resetServers(rows []table.Row) {
	servers := make([]backend.Server, 0, len(rows))
	for _, row := range rows {
		if srv, ok := s.server(row); ok {
			servers = append(servers, srv)
		}
	}
	s.servers.Replace(time.Now(), servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

func (s *state) applyServers(ch table.Changes) {
	now := time.Now()
	for _, row := range ch.Rows {
		if row.Removed {
			id := strings.TrimPrefix(row.Key, platform.ServersTable+"/")
			s.log.Info("server row removed", "server", id)
			s.servers.Remove(now, id)
			continue
		}
		if srv, ok := s.server(row.Row); ok {
			s.servers.Put(srv)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

func (s *state) server(row table.Row) (backend.Server, bool) {
	row.Key = strings.TrimPrefix(row.Key, platform.ServersTable+"/")
	srv, err := platform.DecodeServer(row)
	if err != nil {
		s.log.Warn("server row ignored", "server", row.Key, "err", err)
		return srv, false
	}
	if old, ok := s.servers.View().Server(srv.ID); !ok || old.Draining != srv.Draining || old.StartMS != srv.StartMS {
		s.log.Info("server", "server", srv.ID, "pool", srv.Pool, "address", srv.Address, "draining", srv.Draining, "born", srv.StartMS)
	}
	return srv, true
}

// tick drops the servers that did not come back after an outage of the store.
func (s *state) tick() {
	gone := s.servers.Tick(time.Now())
	if len(gone) == 0 {
		return
	}
	s.log.Warn("servers did not come back after the outage", "servers", strings.Join(gone, ","))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installEngines()
}

// installEngines makes the node's settings name the model engines. The lock is
// held.
func (s *state) installEngines() {
	t, view := s.table.Load(), s.servers.View()
	if t == nil || view == nil {
		return
	}
	engines := make(map[string]string)
	var docs []settings.Document
	for _, p := range t.Pools() {
		if p.Engine == nil || len(p.Engine.Models) == 0 {
			continue
		}
		for _, srv := range view.Pool(p.Name) {
			d := engineDocument(p, srv)
			docs = append(docs, d)
			engines[srv.ID] = d.Fields["address"] + d.Fields["drain"] + d.Fields["slots"]
		}
	}
	if maps.Equal(engines, s.engines) {
		return
	}
	s.engines = engines
	s.rev++
	s.store.InstallSnapshot(s.rev, docs)
	s.settle()
}

func engineDocument(p route.Pool, srv *backend.Server) settings.Document {
	drain := "off"
	if srv.Draining {
		drain = "on"
	}
	return settings.Document{Kind: settings.Backend, Name: srv.ID, Fields: map[string]string{
		"address": srv.Address, "base-model": p.Engine.Models[0].Name, "data-center": srv.DataCenter,
		"slots": strconv.Itoa(p.Engine.AdapterSlots), "places": strconv.Itoa(p.Engine.BatchSize),
		"checks-fencing": "off", "unload-waits": "on", "max-loads": strconv.Itoa(maxAdapterLoads), "drain": drain,
		"prompt-speed": strconv.Itoa(promptSpeed), "token-time": tokenTime.String(),
	}}
}

// holds reports whether an engine says that it holds an adapter.
func (s *state) holds(engineName, adapter string) bool {
	srv, ok := s.servers.View().Server(engineName)
	if !ok {
		return false
	}
	model, name := engine.SplitAdapterName(adapter)
	return adapter == "" || srv.Holds(model, name)
}
