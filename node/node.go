package node

import (
	"context"
	crand "crypto/rand"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/semaphore"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/object"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
	"github.com/vanilladrift/vanilladrift/vmlist"
)

// Node is one daemon.
type Node struct {
	cfg      Config
	process  string
	table    *table.Client
	vms      *vmlist.Client
	store    *settings.Store
	registry *peer.Registry
	front    *caller.Handler
	ledger   *service.Ledger
	session  *session
	members  *members
	loads    *loadBudget
	consents *consents
	metrics  *metrics
	log      *log.Logger

	mu      sync.Mutex
	owned   map[string]*ownedEngine   // engines whose ownership row names this session
	retired map[string][]*ownedEngine // engines that were lost; their orders may still be on the way
	hints   map[string]string         // engine to the node that was last heard to own it
	checked map[string]time.Time      // engine to when its ownership row was last read because of a hint
	vmList  vmlist.List
	fresh   settings.Freshness
	rng     *rand.Rand

	settling *semaphore.Weighted // held while ownership is settled

	tableUp     atomic.Bool
	tokensKnown atomic.Bool // the registry knows every engine's fencing token
	leaving     atomic.Bool // no new requests
	requests    atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  caller.Inflight
}

// New returns a node that has not started. The configuration must have passed
// [Config.Check].
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, process: cfg.Process, log: cfg.Log,
		table:   cfg.Table,
		vms:     &vmlist.Client{URL: cfg.VMListURL, HTTP: cfg.HTTP},
		owned:   make(map[string]*ownedEngine),
		retired: make(map[string][]*ownedEngine),
		hints:   make(map[string]string),
		checked: make(map[string]time.Time),

		settling: semaphore.NewWeighted(1),
		fresh:    settings.Freshness{MaxAge: cfg.MaxSettingsAge},
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	if n.process == "" {
		n.process = crand.Text()
	}
	if n.log == nil {
		n.log = log.New(io.Discard)
	}
	n.registry = &peer.Registry{}
	n.metrics = newMetrics()
	n.store = &settings.Store{Table: n.table}
	n.ledger = &service.Ledger{Table: n.table, Objects: &object.Client{URL: cfg.ObjectURL, HTTP: cfg.HTTP}}
	n.session = newSession(n)
	n.members = newMembers(n)
	n.loads = newLoadBudget(n)
	n.consents = &consents{TTL: cfg.LeaseTTL, Margin: cfg.LeaseMargin}
	n.front = &caller.Handler{
		Tree: n.store.Tree, Ready: n.admitting, Engines: n.enginesFor, EngineClient: n.engineClient,
		Acquire: n.acquire, Release: n.release, Ledger: n.ledger, Services: services(cfg),
		Registry: n.registry, NodeName: n.cfg.Name, NewRequestID: n.newID, Observe: n.metrics.request,
	}
	n.gauges()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

func services(cfg Config) *service.Client {
	if cfg.ServiceHTTP == nil {
		return service.NewClient()
	}
	return &service.Client{AtMostOnce: cfg.ServiceHTTP, Repeatable: cfg.ServiceHTTP}
}

// Start starts the node's loops.
func (n *Node) Start() {
	n.tasks.Go(func() {
		n.join()
		n.every(n.cfg.RenewEvery, n.session.renew)
		n.every(n.cfg.PollEvery, n.pollMembers)
	})
	n.every(n.cfg.PollEvery, n.members.heartbeat)
	n.every(n.cfg.RenewEvery/3, n.members.holdLease)
	if n.cfg.ProbeAfter < defaultProbeAfter {
		n.every(n.cfg.ProbeAfter, n.members.probe)
	}
	if !n.cfg.SettingsPushed {
		n.every(n.cfg.PollEvery, n.pollSettings)
		n.every(n.cfg.PollEvery, n.pollVMs)
	}
	n.every(tickEvery, n.tickEngines)
	n.every(reconcileEvery, n.reconcileGrants)
}

// join registers the session. After a restart the row of the earlier process
// is replaced first, which takes more than one write.
func (n *Node) join() {
	for range joinTries {
		n.session.renew(n.ctx)
		if n.session.valid(time.Now()) || n.ctx.Err() != nil {
			return
		}
		sleep(n.ctx, joinPause)
	}
}

// every runs f at once and then once per period until the node is closed.
func (n *Node) every(period time.Duration, f func(ctx context.Context)) {
	n.tasks.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			f(n.ctx)
			select {
			case <-t.C:
			case <-n.ctx.Done():
				return
			}
		}
	})
}

// Callers returns the handler for callers.
func (n *Node) Callers() http.Handler { return n.front }

// Store returns the node's settings.
func (n *Node) Store() *settings.Store { return n.store }

// Name returns the node's name.
func (n *Node) Name() string { return n.cfg.Name }

func (n *Node) newID() string {
	return n.cfg.Name + "-" + n.process[:min(8, len(n.process))] + "-" + strconv.FormatInt(n.requests.Add(1), 36)
}

// admitting returns nil while the node may admit requests.
func (n *Node) admitting() *caller.Error {
	if reason := n.notReady(); reason != "" {
		return &caller.Error{Op: "admit", Kind: caller.NotReady, Outcome: caller.NotRun, Reason: reason, RetryAfter: n.cfg.PollEvery}
	}
	return nil
}

func (n *Node) notReady() string {
	if n.leaving.Load() {
		return "the node is shutting down"
	}
	if !n.tokensKnown.Load() {
		return "the node has not yet read who owns the engines"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fresh.Stale(time.Now()) {
		return "the node has heard neither the table nor a peer, so its settings may be out of date"
	}
	return ""
}

func (n *Node) heardSettings(sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fresh.RecordContact(sent)
}

// enginesFor returns the backend servers of a base model that take new work.
func (n *Node) enginesFor(base string) []string {
	var names []string
	list := n.vmListNow()
	for _, b := range n.store.Tree().Backends() {
		if b.BaseModel == base && !draining(&b, list) {
			names = append(names, b.Name)
		}
	}
	return names
}

func (n *Node) engineClient(name string) *engine.Client {
	b, ok := n.store.Tree().Backend(name)
	if !ok {
		return nil
	}
	return n.clientOf(b)
}

func (n *Node) clientOf(b *settings.BackendServer) *engine.Client {
	return &engine.Client{Name: b.Name, URL: "http://" + b.Address, HTTP: n.cfg.HTTP}
}

// draining reports whether an engine takes no new work.
func draining(b *settings.BackendServer, list vmlist.List) bool {
	state := list.State(b.Address)
	return b.Drain || state == vmlist.Leaving || state == vmlist.Gone
}

func (n *Node) vmListNow() vmlist.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vmList
}

func (n *Node) pollVMs(ctx context.Context) {
	list, err := n.vms.List(ctx)
	if err != nil {
		return // the last list stays in use
	}
	n.mu.Lock()
	n.vmList = list
	n.mu.Unlock()
}

func (n *Node) pollSettings(ctx context.Context) {
	sent := time.Now()
	err := n.store.Refresh(ctx)
	if err == nil {
		n.heardSettings(sent)
	}
	n.tableUp.Store(err == nil)
}

// LiveNodes returns the number of nodes that take part, this one included.
func (n *Node) LiveNodes() int {
	return max(1, n.members.countLive())
}

// HandOverEngines hands the node's engines over while it goes on serving as an entry.
func (n *Node) HandOverEngines(ctx context.Context) {
	n.session.leave()
	n.handOverAll(ctx)
}

// Close drains the node: new requests are refused, engines are handed over,
// and what is in flight is finished. It waits until all of that is done, or
// returns an error of kind [CutShort] when ctx ends first.
func (n *Node) Close(ctx context.Context) error {
	n.session.leave()
	sleep(ctx, n.cfg.DrainGrace)
	n.leaving.Store(true)
	n.handOverAll(ctx)
	err := n.waitInFlight(ctx)
	n.ledger.Close()
	n.session.end(context.WithoutCancel(ctx))
	n.cancel()
	<-n.tasks.Close()
	return err
}

func (n *Node) waitInFlight(ctx context.Context) error {
	select {
	case <-n.front.Close():
		return nil
	case <-ctx.Done():
		return &Error{Op: "close", Kind: CutShort, Reason: strconv.Itoa(n.registry.InUse()) + " streams in flight"}
	}
}

// Kill stops the node at once, as a crash would: nothing is drained or
// released.
func (n *Node) Kill() {
	n.leaving.Store(true)
	n.cancel()
	<-n.tasks.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// InFlight returns the number of streams that the node serves as an entry.
func (n *Node) InFlight() int { return n.registry.InUse() }

// ReadyEngines returns how many engines the node owns and grants on.
func (n *Node) ReadyEngines() int {
	ready := 0
	for _, o := range n.ownedEngines() {
		o.mu.Lock()
		if !o.sched.Mode().Recovering {
			ready++
		}
		o.mu.Unlock()
	}
	return ready
}
