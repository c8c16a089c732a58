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

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/membership"
	"github.com/vanilladrift/vanilladrift/object"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
	"github.com/vanilladrift/vanilladrift/vmlist"
)

// Node is one daemon: an entry for callers and an owner of engines.
type Node struct {
	cfg           Config
	process       string
	created       time.Time // after the end of earlier processes of the node
	table         *table.Client
	vmListClient  *vmlist.Client
	store         *settings.Store
	registry      *peer.Registry
	callerHandler *caller.Handler
	ledger        *service.Ledger
	session       *session
	members       *members
	loadBudget    *loadBudget
	promises      *membership.Promises
	generations   *membership.Generations
	metrics       *metrics
	turns         backend.Turns // at servers for which this node decides
	suspensions   clock.Watch   // used by watchSuspension only
	held          heldRefusals  // of owners
	quotas        *quotas
	log           *log.Logger

	mu            sync.Mutex
	owned         map[string]*ownedEngine   // engines whose ownership row names this session
	formerlyOwned map[string][]*ownedEngine // no longer owned, but commands may be in flight
	ownerHints    map[string]string         // engine to the node that is believed to own it
	ownerChecks   map[string]time.Time      // engine to the last check of its ownership row
	claims        map[string]bool           // engines owned when the table was last restored
	commandTimes  map[string]*commandTimes  // by engine, of this node's last ownership
	vmList        vmlist.List
	freshness     settings.Freshness
	rng           *rand.Rand

	reconcileLock  *semaphore.Weighted // held during reconcileOwnership
	generationLock sync.Mutex          // held while a new generation of the table is recorded

	tableUp      atomic.Bool
	tokensKnown  atomic.Bool // the registry has the fencing token of every engine
	refusing     atomic.Bool // new requests are refused
	pollPending  atomic.Bool // an announced read of the session rows has not begun
	requestCount atomic.Int64

	streamSharing  streamSharing
	streamSearches streamSearches

	ctx    context.Context
	cancel context.CancelFunc
	tasks  caller.Inflight
}

// New returns a node that has not started. The configuration must have passed
// [Config.Check].
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, process: cfg.Process, created: time.Now(), log: cfg.Log,
		table:         cfg.Table,
		vmListClient:  &vmlist.Client{URL: cfg.VMListURL, HTTP: cfg.HTTP},
		owned:         make(map[string]*ownedEngine),
		formerlyOwned: make(map[string][]*ownedEngine),
		ownerHints:    make(map[string]string),
		ownerChecks:   make(map[string]time.Time),
		claims:        make(map[string]bool),
		commandTimes:  make(map[string]*commandTimes),

		suspensions:   clock.Watch{Clock: cfg.Clock},
		reconcileLock: semaphore.NewWeighted(1),
		freshness:     settings.Freshness{MaxAge: cfg.MaxSettingsAge},
		rng:           rand.New(rand.NewPCG(cfg.Seed, 1)),
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
	n.loadBudget = newLoadBudget(n)
	n.quotas = newQuotas(n)
	n.generations = &membership.Generations{LeaseTime: n.leaseTime(), MaxExtension: maxExtension}
	n.promises = &membership.Promises{LeaseTime: n.leaseTime(), Retention: maxExtension + n.leaseTime()}
	n.callerHandler = &caller.Handler{
		Tree: n.store.Tree, Ready: n.checkAdmission, Engines: n.servingBackends, EngineClient: n.engineClient,
		RequestGrant: n.acquireGrant, Release: n.releaseGrant, Ledger: n.ledger, Services: newServiceClient(cfg),
		Registry: n.registry, NodeName: n.cfg.Name, NewRequestID: n.newRequestID, Observe: n.metrics.request,
	}
	n.registerGauges()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

func newServiceClient(cfg Config) *service.Client {
	if cfg.ServiceHTTP == nil {
		return service.NewClient()
	}
	return &service.Client{AtMostOnce: cfg.ServiceHTTP, Repeatable: cfg.ServiceHTTP}
}

// Start starts the node's background loops.
func (n *Node) Start() {
	n.tasks.Go(func() {
		n.join()
		n.runEvery(n.cfg.RenewEvery, n.session.renewIfDue)
		n.runEvery(n.cfg.PollEvery, n.pollMembersIfDue)
	})
	n.runEvery(n.cfg.PollEvery, n.members.heartbeat)
	n.runEvery(n.cfg.RenewEvery/3, n.members.extendLeaseByWitnesses)
	if n.cfg.ProbeAfter < defaultProbeAfter {
		n.runEvery(n.cfg.ProbeAfter, n.members.probe)
	}
	if !n.cfg.SettingsPushed {
		n.runEvery(n.cfg.PollEvery, n.pollSettings)
		n.runEvery(n.cfg.PollEvery, n.pollVMs)
	}
	if n.cfg.Prompts != nil || n.cfg.Requests != nil {
		n.runEvery(crashShareInterval, n.shareCrashes)
	}
	if n.cfg.Streams != nil {
		n.runEvery(streamShareInterval, n.shareStreams)
	}
	n.runEvery(tickInterval, n.tickEngines)
	n.runEvery(tickInterval, n.watchSuspension)
	n.runEvery(reconcileInterval, n.reconcileGrants)
}

// join registers the session. After a restart it first has to replace the row of the
// earlier process, which takes more than one write.
func (n *Node) join() {
	if n.generations.Current() == 0 {
		_, _ = n.table.Get(n.ctx, table.Session{Node: n.cfg.Name}.Key()) // its response states the generation, if any
	}
	n.register()
}

// register renews the session, or registers another one in place of one that has ended.
func (n *Node) register() {
	for range joinAttempts {
		n.session.renew(n.ctx)
		if n.session.leaseValid() || n.ctx.Err() != nil {
			return
		}
		sleep(n.ctx, joinPause)
	}
}

// runEvery runs f at once, and then once per period until the node is closed.
func (n *Node) runEvery(period time.Duration, f func(ctx context.Context)) {
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
func (n *Node) Callers() http.Handler { return n.callerHandler }

// Store returns the node's settings.
func (n *Node) Store() *settings.Store { return n.store }

// Name returns the node's name.
func (n *Node) Name() string { return n.cfg.Name }

func (n *Node) newRequestID() string {
	return n.cfg.Name + "-" + n.process[:min(8, len(n.process))] + "-" + strconv.FormatInt(n.requestCount.Add(1), 36)
}

// checkAdmission returns nil if the node may admit requests.
func (n *Node) checkAdmission() *caller.Error {
	if reason := n.admissionBlocker(); reason != "" {
		return &caller.Error{Op: "admit", Kind: caller.NotReady, Outcome: caller.NotRun, Reason: reason, RetryAfter: n.cfg.PollEvery}
	}
	return nil
}

func (n *Node) admissionBlocker() string {
	if n.refusing.Load() {
		return "the node is shutting down"
	}
	if !n.tokensKnown.Load() {
		return "the node has not yet read who owns the engines"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.freshness.Stale(n.bootNow()) {
		return "the node has heard neither the table nor a peer, so its settings may be out of date"
	}
	return ""
}

func (n *Node) recordSettingsContact(asked time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.RecordContact(asked)
}

// servingBackends returns the names of the backend servers of a base model that accept
// new requests.
func (n *Node) servingBackends(base string) []string {
	var names []string
	list := n.currentVMList()
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
	return n.newEngineClient(b)
}

func (n *Node) newEngineClient(b *settings.BackendServer) *engine.Client {
	return &engine.Client{Name: b.Name, URL: "http://" + b.Address, HTTP: n.cfg.HTTP}
}

// draining reports whether an engine accepts no new requests.
func draining(b *settings.BackendServer, list vmlist.List) bool {
	state := list.State(b.Address)
	return b.Drain || state == vmlist.Leaving || state == vmlist.Gone
}

func (n *Node) currentVMList() vmlist.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vmList
}

func (n *Node) pollVMs(ctx context.Context) {
	list, err := n.vmListClient.List(ctx)
	if err != nil {
		return // the previous list stays in use
	}
	n.mu.Lock()
	n.vmList = list
	n.mu.Unlock()
}

func (n *Node) pollSettings(ctx context.Context) {
	asked := n.bootNow()
	err := n.store.Refresh(ctx)
	if err == nil {
		n.recordSettingsContact(asked)
	}
	n.tableUp.Store(err == nil)
}

// LiveNodes returns the number of nodes that may own engines, at least 1.
func (n *Node) LiveNodes() int {
	return max(1, n.members.countLive())
}

// LiveNodeNames returns the names of the nodes that may own engines.
func (n *Node) LiveNodeNames() []string { return n.members.liveNames() }

// OtherNodes returns the addresses of the other nodes that take requests, by name.
func (n *Node) OtherNodes() map[string]string {
	addresses := make(map[string]string)
	for _, mem := range n.members.all() {
		if mem.live() && !mem.Leaving && mem.Process != n.process && !n.members.isDown(mem.Address) {
			addresses[mem.Node] = mem.Address
		}
	}
	return addresses
}

// HandOverEngines hands over the node's engines. The node still serves as an entry
// node.
func (n *Node) HandOverEngines(ctx context.Context) {
	n.session.announceLeaving(ctx)
	n.handOverAll(ctx)
}

// endMargin is how long responses may take that are written when the time to drain is over.
const endMargin = 200 * time.Millisecond

// rowMargin is how long the removal of the session may take when that time is over.
const rowMargin = 100 * time.Millisecond

// Close drains the node: it refuses new requests, hands over engines and finishes the
// requests in flight. If ctx ends first, Close answers what can still be answered. If it
// cuts streams or calls of services, it returns an error of kind [ShutdownTimeout].
func (n *Node) Close(ctx context.Context) error {
	n.session.announceLeaving(ctx)
	sleep(ctx, n.cfg.DrainGrace)
	n.refusing.Store(true)
	n.handOverAll(ctx)
	err := n.waitInFlight(ctx)
	n.ledger.Close()
	n.removeSession(ctx)
	n.cancel()
	<-n.tasks.Close()
	return err
}

// removeSession removes the row of the session, and gives up soon after ctx ends: a table
// that does not respond must not hold the process.
func (n *Node) removeSession(ctx context.Context) {
	rowCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(rowMargin, cancel) })()
	n.session.removeRow(rowCtx)
}

func (n *Node) waitInFlight(ctx context.Context) error {
	select {
	case <-n.callerHandler.Close():
		return nil
	case <-ctx.Done():
	}
	streams := n.registry.InUse()
	n.callerHandler.End()
	select {
	case <-n.callerHandler.Close():
		if streams == 0 {
			return nil // each request got a response
		}
	case <-time.After(endMargin):
	}
	return &Error{Op: "close", Kind: ShutdownTimeout, Reason: strconv.Itoa(streams) + " streams in flight"}
}

// Kill stops the node at once, as a crash would: it neither drains nor releases
// anything.
func (n *Node) Kill() {
	n.refusing.Store(true)
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

// InFlight returns the number of streams in use at this entry node.
func (n *Node) InFlight() int { return n.registry.InUse() }

// ReadyEngines returns the number of engines that the node owns and has recovered, so
// that it gives grants on them.
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
