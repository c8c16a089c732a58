package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	engineCount     = 4
	serviceCount    = 2
	nodeCount       = 3
	adapterCount    = 200
	engineSpeedup   = 8
	engineSlots     = 16
	batchSize       = 16
	baseModel       = "base-7b"
	settingsTimeout = 4 * time.Second
)

// system is the system that the demo runs: the stand-ins, the nodes and their clients.
type system struct {
	listeners
	table       *standin.Table
	vmList      *standin.VMList
	engines     []*standin.Engine
	engineAddrs []string
	services    []*standin.Service
	nodes       []*runningNode
	settings    *settings.Store // of the node through which the operator edits
	client      *http.Client
	editCount   int
}

// runningNode is a node and its address for callers.
type runningNode struct {
	node       *node.Node
	callerAddr string
}

func newSystem(seed uint64) (*system, error) {
	sys := &system{
		table: &standin.Table{}, vmList: &standin.VMList{Lag: 200 * time.Millisecond},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	tableAddr, err := sys.serve(sys.table)
	if err != nil {
		return nil, err
	}
	objectAddr, err := sys.serve(&standin.ObjectStore{})
	if err != nil {
		return nil, err
	}
	vmListAddr, err := sys.serve(sys.vmList)
	if err != nil {
		return nil, err
	}
	for i := range engineCount {
		e := &standin.Engine{
			Slots: engineSlots, BatchSize: batchSize, ChecksFencing: i%2 == 0,
			ReportLag: 300 * time.Millisecond, Timing: standin.DefaultTiming.SpeedUp(engineSpeedup),
		}
		addr, err := sys.serve(e)
		if err != nil {
			return nil, err
		}
		sys.engines, sys.engineAddrs = append(sys.engines, e), append(sys.engineAddrs, addr)
	}
	if err := sys.startNodes(seed, "http://"+tableAddr, "http://"+objectAddr, "http://"+vmListAddr); err != nil {
		return nil, err
	}
	sys.settings = sys.nodes[0].node.Store()
	return sys, sys.configure()
}

func (sys *system) startNodes(seed uint64, tableURL, objectURL, vmListURL string) error {
	for i := range nodeCount {
		ln, err := sys.listen(freePort)
		if err != nil {
			return err
		}
		cfg := node.Config{
			Name: fmt.Sprintf("n%d", i+1), Address: ln.Addr().String(),
			TableURL: tableURL, ObjectURL: objectURL, VMListURL: vmListURL, Seed: seed + uint64(i),
			PeerHTTP: peer.NewHTTPClient(nil),
		}
		if err := cfg.Check(); err != nil {
			return err
		}
		n := node.New(cfg)
		sys.runServer(ln, peer.NewHTTPServer(n.Peers(), nil))
		addr, err := sys.serve(n.Callers())
		if err != nil {
			return err
		}
		n.Start()
		sys.nodes = append(sys.nodes, &runningNode{n, addr})
	}
	return nil
}

// edit changes a document of the settings as the operator.
func (sys *system) edit(kind settings.Kind, name string, set map[string]string) error {
	sys.editCount++
	_, err := sys.settings.Apply(context.Background(), settings.Edit{
		ID: fmt.Sprintf("demo-%d", sys.editCount), Kind: kind, Name: name, Set: set,
		BaseRev: settings.AnyRevision, Who: "demo", Why: "demo set-up",
	}, time.Now())
	return err
}

// configure writes the settings of both client accounts.
func (sys *system) configure() error {
	if err := sys.edit(settings.Branch, "/", map[string]string{"load-rate": "60", "load-parallel": "4"}); err != nil {
		return err
	}
	for i, addr := range sys.engineAddrs {
		fencing := "off"
		if i%2 == 0 {
			fencing = "on"
		}
		if err := sys.edit(settings.Backend, engineName(i), map[string]string{
			"address": addr, "base-model": baseModel, "slots": fmt.Sprint(engineSlots), "swap-slots": "2",
			"places": fmt.Sprint(batchSize), "checks-fencing": fencing, "refuses-when-full": "on",
		}); err != nil {
			return err
		}
	}
	for i := range adapterCount {
		if err := sys.edit(settings.Adapter, adapterName(i), map[string]string{
			"base-model": baseModel, "versions": "v1,v2", "current": "v1",
		}); err != nil {
			return err
		}
	}
	return sys.configureCallers()
}

func (sys *system) configureCallers() error {
	for _, b := range []struct {
		name   string
		fields map[string]string
	}{
		{"/council", map[string]string{"adapter": adapterName(0), "deadline": "20s"}},
		{"/council/counter", map[string]string{"class": "short", "max-tokens": "32"}},
		{"/council/depot", map[string]string{"class": "long", "max-tokens": "256"}},
		{"/wspolnota", map[string]string{"adapter": adapterName(1), "deadline": "30s"}},
		{"/wspolnota/studio-a", map[string]string{"class": "short", "max-tokens": "64"}},
		{"/wspolnota/dossiers", map[string]string{"class": "long", "max-tokens": "256"}},
	} {
		if err := sys.edit(settings.Branch, b.name, b.fields); err != nil {
			return err
		}
	}
	for key, branch := range callerBranches {
		if err := sys.edit(settings.Caller, key, map[string]string{"branch": branch, "key-hash": caller.HashKey(key)}); err != nil {
			return err
		}
	}
	for i := range serviceCount {
		s := &standin.Service{}
		addr, err := sys.serve(s)
		if err != nil {
			return err
		}
		sys.services = append(sys.services, s)
		if err := sys.edit(settings.Service, serviceName(i), map[string]string{"addresses": addr, "repeatable": "/status"}); err != nil {
			return err
		}
	}
	return sys.waitSettings()
}

// callerBranches maps the callers' keys to their branches.
var callerBranches = map[string]string{
	"counter": "/council/counter", "depot": "/council/depot",
	"studio-a": "/wspolnota/studio-a", "dossiers": "/wspolnota/dossiers",
}

func engineName(i int) string  { return fmt.Sprintf("engine-%d", i+1) }
func adapterName(i int) string { return fmt.Sprintf("adapter-%03d", i) }
func serviceName(i int) string { return fmt.Sprintf("ledger-%d", i+1) }

// waitSettings waits until the current settings revision is in force on every node.
func (sys *system) waitSettings() error {
	rev := sys.settings.Tree().Rev()
	deadline := time.Now().Add(settingsTimeout)
	for _, n := range sys.nodes {
		for n.node.Store().Tree().Rev() < rev {
			if time.Now().After(deadline) {
				return &Error{Op: "settings", Kind: "broken-promise", Violations: []string{"settings revision was not in force on every node within " + settingsTimeout.String()}}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// waitReady waits until every engine has an owner that is ready to give grants.
func (sys *system) waitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		owned := 0
		for _, n := range sys.nodes {
			owned += n.node.ReadyEngines()
		}
		if owned == engineCount {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &Error{Op: "start", Kind: "set-up", Violations: []string{"not every engine has an owner"}}
}

func (sys *system) close() {
	for _, n := range sys.nodes {
		n.node.Kill()
	}
	sys.closeListeners()
}
