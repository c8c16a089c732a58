package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/feed"
	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// storeTimeout bounds a call of the store, many times its usual answer.
	storeTimeout = time.Second
	// operatorWait is how long the store holds a question for configuration
	// open; a connection that went silent breaks sooner, by its probes.
	operatorWait = 4 * time.Second
	// serversPace is the time between two questions for servers: well under the
	// time in which a leaving server must get no new request.
	serversPace = 1200 * time.Millisecond
	// orderTimeout and reportTimeout bound calls of replicas' own interface, which
	// answers within milliseconds. Nothing else can be ordered while an order is
	// waited for; the time leaves room for a packet that is sent again.
	orderTimeout  = 300 * time.Millisecond
	reportTimeout = 500 * time.Millisecond

	// probeAfter and probeTimeout find a node that does not answer within half a
	// second, before its engines' requests have lost their aim.
	probeAfter   = 100 * time.Millisecond
	probeTimeout = 200 * time.Millisecond

	// shorterBy is the part of the platform's time between two holders by which a
	// lease is shorter, so that an order that was sent under it has arrived before
	// the next holder's. marginPart is kept on both sides of it for slow answers.
	shorterBy  = 6
	marginPart = 10
	// renewals is how often a lease is renewed while it is trusted: twice, and a
	// little more for late timers.
	renewals = 2.2
	// membersPace is the time between two readings of the nodes' sessions; a
	// change of owner waits longer than that in any case.
	membersPace = 2 * time.Second
	// listenerOpen is how long after SIGTERM new requests are taken. By then the
	// balancer, which asks once a second, has taken the node out; a request
	// that comes later might not end within the grace period.
	listenerOpen = 2700 * time.Millisecond
	// exitMargin is kept of the grace period for the process's end.
	exitMargin = 500 * time.Millisecond
	// tickEvery is how often servers that an outage may have hidden are looked at.
	tickEvery = 200 * time.Millisecond
	// firstRetry and lastRetry are the pauses after the store did not answer: many
	// of its answers' times, and at most what a poll would have waited.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
	// memoryShare is the part of the memory limit that the collector aims at.
	memoryShare = 0.7
)

// Daemon is the process of one entry VM.
type Daemon struct {
	settings platform.Settings
	network  Network
	log      *log.Logger
	store    *platform.StoreClient
	node     *node.Node
	state    *state
	conns    *conns
	front    *relay.Handler
	acquirer *caller.Acquirer
	metrics  *metrics

	mu      sync.Mutex
	budgets map[string]*backend.RetryBudget
	leaving atomic.Bool
	servers []*http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// leaseTimes returns the times of a lease for the platform's time between two
// holders.
func leaseTimes(gap time.Duration) (ttl, margin, renewEvery time.Duration) {
	ttl, margin = gap-gap/shorterBy, gap/marginPart
	return ttl, margin, time.Duration(float64(ttl-margin) / renewals)
}

// New returns a daemon that has not started. It sets the process's memory limit.
func New(s platform.Settings, n Network, l *log.Logger) (*Daemon, error) {
	n = n.withDefaults()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	d := &Daemon{settings: s, network: n, log: l, budgets: make(map[string]*backend.RetryBudget)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.store = &platform.StoreClient{Address: s.StoreAddress, HTTP: &http.Client{Transport: n.transport(0, idleConns)}}
	d.state = &state{log: l}
	ttl, margin, renewEvery := leaseTimes(s.HolderGap)
	cfg := node.Config{
		Name: s.Node, Address: s.PeerAddress, Region: s.Region, DataCenter: s.DataCenter,
		Table: &table.Client{Read: d.readStore, Apply: d.applyStore}, Sequencer: d.sequencer,
		SettingsPushed: true, OwnerAlternationGap: s.HolderGap, LeaseTTL: ttl, LeaseMargin: margin,
		RenewEvery: renewEvery, PollEvery: membersPace, ProbeAfter: probeAfter, ProbeTimeout: probeTimeout, DrainGrace: time.Millisecond, PeerHTTP: n.peerClient(), Log: l, Seed: uint64(time.Now().UnixNano()),
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d.node = node.New(cfg)
	d.state.store, d.state.settle = d.node.Store(), d.node.ReconcileOwnership
	d.conns = &conns{network: n, nodes: d.node.LiveNodes}
	d.metrics = newMetrics(d.node.Meter())
	d.acquirer = d.node.Acquirer(engine.NewRouter(engine.RouterConfig{}), d.state.holds, func() bool { return false })
	d.front = &relay.Handler{
		Table: d.state.table.Load, Servers: d.state.servers.View, RequiredVersion: d.state.version,
		DecodeRequest: platform.DecodeRequestHead, NewServerRequest: platform.NewReplicaRequest, DecodeResponse: platform.DecodeResponseHead, RequestIDHeader: platform.RequestIDHeader,
		Transport: d.conns.pool, Acquire: d.acquire, Release: d.node.Release,
		RetryBudget: d.budget, Balancer: &backend.Balancer{DataCenter: s.DataCenter}, ShuttingDown: d.leaving.Load, Observe: d.observe,
	}
	return d, nil
}

func (d *Daemon) readStore(ctx context.Context, q table.Query) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.store.Read(ctx, q)
}

func (d *Daemon) applyStore(ctx context.Context, tx table.Tx) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.store.Apply(ctx, tx)
}

func (d *Daemon) acquire(ctx context.Context, names []string, w engine.Work) (caller.Grant, error) {
	s := caller.GrantRequest{Work: w, Engines: names}
	if _, adapter := engine.SplitAdapterName(w.Adapter); adapter == "" {
		s.Work.Adapter, s.PlacementKey = "", w.ID // every engine serves its base model
	}
	return d.acquirer.Acquire(ctx, s)
}

// sequencer returns what gives orders to a replica.
func (d *Daemon) sequencer(b settings.BackendServer) *engine.Sequencer {
	server := func() (backend.Server, *platform.ReplicaClient, error) {
		s, ok := d.state.servers.View().Server(b.Name)
		t := d.state.table.Load()
		if !ok || t == nil {
			return backend.Server{}, nil, &engine.Error{Op: "order", Kind: engine.NotSent, Engine: b.Name}
		}
		pool, _ := t.Pool(s.Pool)
		hc := &http.Client{Transport: d.conns.pool(pool)}
		return *s, &platform.ReplicaClient{HTTP: hc, Holder: d.settings.Node}, nil
	}
	return &engine.Sequencer{
		Send: func(ctx context.Context, c engine.Command) (engine.Reply, error) {
			s, r, err := server()
			if err != nil {
				return "", err
			}
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			reply, err := r.SendCommand(ctx, s, c)
			d.log.Info("order", "engine", s.ID, "load", c.Load, "model", c.Model, "adapter", c.Adapter,
				"expected", c.ExpectedSequence, "token", c.Token, "reply", reply, "err", err)
			return reply, err
		},
		FetchState: func(ctx context.Context) (engine.State, error) {
			s, r, err := server()
			if err != nil {
				return engine.State{}, err
			}
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			return r.FetchState(ctx, s)
		},
	}
}

// budget returns this node's part of the budget for sending again to a pool.
func (d *Daemon) budget(pool string) *backend.RetryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[pool]
	if b == nil {
		b = &backend.RetryBudget{}
		d.budgets[pool] = b
	}
	nodes := max(fewestNodes, d.node.LiveNodes())
	b.SetBounds(d.settings.RetryRatio*budgetShare, float64(d.settings.RetrySlack)*budgetShare/float64(nodes), d.settings.RetryWindow)
	return b
}

// budgetShare is the part of the budget for sending again that is used, since
// nodes come and go within its window.
const budgetShare = 0.8

// fewestNodes is the number of nodes that the slack of the budget is divided by
// at least, since a node that has just started does not know the others yet.
const fewestNodes = 4

// Start begins to serve.
func (d *Daemon) Start() error {
	for _, l := range []struct {
		address string
		srv     *http.Server
	}{
		{d.settings.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(d.ready)}},
		{d.settings.PeerAddress, peer.NewHTTPServer(d.node.Peers(), nil)},
		{d.settings.OperatorAddress, &http.Server{Handler: d.node.Operators()}},
		{d.settings.CallerAddress, &http.Server{Handler: d.front}},
	} {
		ln, err := d.network.Listen(l.address)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, l.srv)
		go func() { _ = l.srv.Serve(ln) }() // ends with Close
	}
	d.node.Start()
	d.follow(platform.OperatorTable, operatorWait, 0, d.state.resetOperator, d.state.applyOperator)
	d.follow(platform.ServersTable, 0, serversPace, d.state.resetServers, d.state.applyServers)
	d.tasks.Go(func() {
		t := time.NewTicker(tickEvery)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				d.state.tick()
			case <-d.ctx.Done():
				return
			}
		}
	})
	d.log.Info("started", "callers", d.settings.CallerAddress, "peers", d.settings.PeerAddress,
		"metrics", d.settings.OperatorAddress, "store", d.settings.StoreAddress)
	return nil
}

func (d *Daemon) follow(name string, wait, pace time.Duration, reset func([]table.Row), apply func(table.Changes)) {
	f := &feed.Follower{
		Table: name, ReadAll: d.store.ReadTable, ReadChanges: d.store.WaitChanges, Reset: reset, Apply: apply,
		PollWait: wait, ResponseTimeout: storeTimeout, MinInterval: pace, RetryDelay: firstRetry, MaxRetryDelay: lastRetry,
		OnDown: func(err error) {
			d.log.Warn("store lost", "table", name, "err", err)
			if name == platform.ServersTable {
				d.state.servers.StoreUnavailable()
			}
		},
		OnUp: func() {
			d.log.Info("store regained", "table", name)
			if name == platform.ServersTable {
				d.state.servers.StoreAvailable(time.Now())
			}
		},
	}
	d.tasks.Go(func() { f.Run(d.ctx) })
}

// ready answers the balancer.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || d.state.table.Load() == nil || d.state.servers.View() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload takes over what may change while the process runs: the budget for
// sending again and the grace period. It reports whether anything else differs,
// which holds from the next start.
func (d *Daemon) Reload(next platform.Settings) (restart bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.settings // field by field: the others are read without the lock
	s.RetryRatio, s.RetrySlack, s.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
	s.GracePeriod = next.GracePeriod
	return *s != next
}

// Close hands engines over, finishes what is in flight, and stops, within the
// platform's grace period.
func (d *Daemon) Close() {
	d.mu.Lock()
	grace := d.settings.GracePeriod
	d.mu.Unlock()
	d.log.Info("stopping", "grace", grace)
	d.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	d.tasks.Go(func() { d.node.HandOverEngines(ctx) })
	time.Sleep(listenerOpen)
	front := d.servers[len(d.servers)-1]
	if err := front.Shutdown(ctx); err != nil {
		d.log.Warn("requests were cut at the end of the grace period", "err", err)
	}
	if err := d.node.Close(ctx); err != nil {
		d.log.Warn("node did not close in time", "err", err)
	}
	d.cancel()
	for _, srv := range d.servers {
		_ = srv.Close() // nothing is in flight any more
	}
	d.tasks.Wait()
	d.log.Info("stopped")
}
