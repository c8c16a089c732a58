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

// world is the system that the demo runs.
type world struct {
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

func newWorld(seed uint64) (*world, error) {
	w := &world{
		table: &standin.Table{}, vmList: &standin.VMList{Lag: 200 * time.Millisecond},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	tableAddr, err := w.serve(w.table)
	if err != nil {
		return nil, err
	}
	objectAddr, err := w.serve(&standin.ObjectStore{})
	if err != nil {
		return nil, err
	}
	vmListAddr, err := w.serve(w.vmList)
	if err != nil {
		return nil, err
	}
	for i := range engineCount {
		e := &standin.Engine{
			Slots: engineSlots, BatchSize: batchSize, ChecksFencing: i%2 == 0,
			ReportLag: 300 * time.Millisecond, Timing: standin.DefaultTiming.SpeedUp(engineSpeedup),
		}
		addr, err := w.serve(e)
		if err != nil {
			return nil, err
		}
		w.engines, w.engineAddrs = append(w.engines, e), append(w.engineAddrs, addr)
	}
	if err := w.startNodes(seed, "http://"+tableAddr, "http://"+objectAddr, "http://"+vmListAddr); err != nil {
		return nil, err
	}
	w.settings = w.nodes[0].node.Store()
	return w, w.configure()
}

func (w *world) startNodes(seed uint64, tableURL, objectURL, vmsURL string) error {
	for i := range nodeCount {
		ln, err := w.listen(freePort)
		if err != nil {
			return err
		}
		cfg := node.Config{
			Name: fmt.Sprintf("n%d", i+1), Address: ln.Addr().String(),
			TableURL: tableURL, ObjectURL: objectURL, VMListURL: vmsURL, Seed: seed + uint64(i),
			PeerHTTP: peer.NewHTTPClient(nil),
		}
		if err := cfg.Check(); err != nil {
			return err
		}
		n := node.New(cfg)
		w.runServer(ln, peer.NewHTTPServer(n.Peers(), nil))
		addr, err := w.serve(n.Callers())
		if err != nil {
			return err
		}
		n.Start()
		w.nodes = append(w.nodes, &runningNode{n, addr})
	}
	return nil
}

// edit changes a document of the settings as the operator.
func (w *world) edit(kind settings.Kind, name string, set map[string]string) error {
	w.editCount++
	_, err := w.settings.Apply(context.Background(), settings.Edit{
		ID: fmt.Sprintf("demo-%d", w.editCount), Kind: kind, Name: name, Set: set,
		BaseRev: settings.AnyRevision, Who: "demo", Why: "demo set-up",
	}, time.Now())
	return err
}

// configure writes the settings of both client accounts.
func (w *world) configure() error {
	if err := w.edit(settings.Branch, "/", map[string]string{"load-rate": "60", "load-parallel": "4"}); err != nil {
		return err
	}
	for i, addr := range w.engineAddrs {
		fencing := "off"
		if i%2 == 0 {
			fencing = "on"
		}
		if err := w.edit(settings.Backend, engineName(i), map[string]string{
			"address": addr, "base-model": baseModel, "slots": fmt.Sprint(engineSlots), "swap-slots": "2",
			"places": fmt.Sprint(batchSize), "checks-fencing": fencing, "refuses-when-full": "on",
		}); err != nil {
			return err
		}
	}
	for i := range adapterCount {
		if err := w.edit(settings.Adapter, adapterName(i), map[string]string{
			"base-model": baseModel, "versions": "v1,v2", "current": "v1",
		}); err != nil {
			return err
		}
	}
	return w.configureCallers()
}

func (w *world) configureCallers() error {
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
		if err := w.edit(settings.Branch, b.name, b.fields); err != nil {
			return err
		}
	}
	for key, branch := range callerBranches {
		if err := w.edit(settings.Caller, key, map[string]string{"branch": branch, "key-hash": caller.HashKey(key)}); err != nil {
			return err
		}
	}
	for i := range serviceCount {
		s := &standin.Service{}
		addr, err := w.serve(s)
		if err != nil {
			return err
		}
		w.services = append(w.services, s)
		if err := w.edit(settings.Service, serviceName(i), map[string]string{"addresses": addr, "repeatable": "/status"}); err != nil {
			return err
		}
	}
	return w.waitSettings()
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
func (w *world) waitSettings() error {
	rev := w.settings.Tree().Rev()
	deadline := time.Now().Add(settingsTimeout)
	for _, n := range w.nodes {
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
func (w *world) waitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		owned := 0
		for _, n := range w.nodes {
			owned += n.node.ReadyEngines()
		}
		if owned == engineCount {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &Error{Op: "start", Kind: "set-up", Violations: []string{"not every engine has an owner"}}
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.node.Kill()
	}
	w.closeListeners()
}
