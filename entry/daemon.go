package entry

import (
	"cmp"
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/feed"
	"github.com/vanilladrift/vanilladrift/memory"
	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/quota"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	// storeTimeout bounds a store call; it is many times the usual response time.
	storeTimeout = time.Second
	// defaultCatchUpPeriod is the catch-up period if the settings state none.
	defaultCatchUpPeriod = 3 * time.Second
	// defaultConfigDeadline is the time in which a configuration must be in force if the settings state none.
	defaultConfigDeadline = 2 * time.Second
	// minOperatorPollWait bounds the calls of nodes with a short catch-up period.
	minOperatorPollWait = 500 * time.Millisecond
	// pollGrace is how long the response to a poll may take once the store no longer holds it.
	pollGrace = 400 * time.Millisecond
	// callSteps is the number of steps of a store call that wait for the processor: the end of a
	// timer, the connection, the request, the response and the use of its rows.
	callSteps = 5
	// lateCallReserve is the part of the catch-up period that a last call takes: it needs a
	// connection, and the processor may be as late as it is while requests are admitted.
	lateCallReserve = dialTimeout + callSteps*caller.MaxLateness
	// maxServersPollInterval is the longest time between two polls for servers. Their rows
	// also tell which adapters they have loaded.
	maxServersPollInterval = 2 * time.Second
	// serversPollReserve is the part of the drain period in which the last request that
	// was sent in ignorance reaches a draining server: it may first need a connection.
	serversPollReserve = 2 * dialTimeout
	// commandTimeout and reportTimeout bound calls of the replicas' control interface,
	// which responds within milliseconds. A command blocks the next one to the same
	// engine, so the timeout only leaves room for one TCP retransmission.
	commandTimeout = 300 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond

	// probeAfter and probeTimeout detect an unresponsive node within half a second,
	// before requests for its engines miss their latency target.
	probeAfter   = 100 * time.Millisecond
	probeTimeout = 200 * time.Millisecond

	// A lease is shorter than the owner alternation gap by 1/leaseReductionDivisor of
	// the gap, so that a command sent under it arrives before those of the next
	// owner. Its margin, on both sides, is 1/leaseMarginDivisor of the gap and
	// allows for slow responses.
	leaseReductionDivisor = 6
	leaseMarginDivisor    = 10
	// renewalsPerLease is the number of renewals within the valid time of a lease: two,
	// plus some room for late timers.
	renewalsPerLease = 2.2
	// sessionPollInterval is the time between two reads of the nodes' sessions. A
	// change of owner waits longer than that in any case.
	sessionPollInterval = 2 * time.Second
	// sessionRenewInterval is the time between two renewals of a session in the store while
	// its witnesses extend the lease. A session that ends without being found down
	// by others keeps its engines for that much longer.
	sessionRenewInterval = 5 * time.Second
	// acceptAfterSIGTERM is how long new requests are accepted after SIGTERM. By then the
	// load balancer, which checks readiness once a second, has removed the node. A
	// request accepted later might not end within the grace period.
	acceptAfterSIGTERM = 2700 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
	// restoredInterval is the time between two checks for servers that did not register
	// again after an outage or a restore of the store, or whose rows are confirmed.
	restoredInterval = 200 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay before a failed store
	// call is retried: many times the usual response time, and less than a poll waits
	// anyway. See [storeRetryDelay].
	minStoreRetryDelay = 200 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// headTimeout bounds the time in which a caller sends the head of a request.
	headTimeout = 30 * time.Second
	// memoryLimitShare is the soft limit of the Go runtime as a share of the memory
	// limit of the process.
	memoryLimitShare = 0.7
)

// Daemon is the process of one entry VM.
type Daemon struct {
	// ClientLimits are limits that the settings do not state. Set them before Start.
	ClientLimits ClientLimits
	// Schedule is to be set before Start, if at all.
	Schedule Schedule

	settings     platform.Settings
	network      Network
	log          *log.Logger
	store        *platform.StoreClient
	node         *node.Node
	state        *platformState
	transports   *poolTransports
	relayHandler *relay.Handler
	acquirer     *caller.Acquirer
	balancer     *backend.Balancer
	limits       *backend.Limits
	table        *table.Client
	operatorFeed *feed.Follower
	serversFeed  *feed.Follower
	builds       *backend.BuildHistory
	overload     caller.Overload
	poolGates    backend.PoolGates
	places       places
	streams      *backend.StreamOrigins
	metrics      *metrics

	mu           sync.Mutex
	retryBudgets map[string]*backend.RetryBudget
	shuttingDown atomic.Bool
	servers      []*http.Server
	callerServer *caller.Server
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
}

// leaseTimings returns the TTL, margin and renewal interval of a lease for an owner
// alternation gap.
func leaseTimings(alternationGap time.Duration) (ttl, margin, renewEvery time.Duration) {
	ttl, margin = alternationGap-alternationGap/leaseReductionDivisor, alternationGap/leaseMarginDivisor
	return ttl, margin, time.Duration(float64(ttl-margin) / renewalsPerLease)
}

// serversPollInterval returns the time between two polls for servers. A server's draining
// is known one interval after it began at the latest, and requests that were queued
// before are not sent to it then.
func serversPollInterval(drainPeriod time.Duration) time.Duration {
	return min(maxServersPollInterval, max(drainPeriod-serversPollReserve, drainPeriod/2))
}

// operatorPollWait returns how long the store may hold a poll for configuration open. If its
// response is lost on a connection that stays open, the next poll has a response within the
// catch-up period.
func operatorPollWait(catchUp time.Duration) time.Duration {
	return max(minOperatorPollWait, cmp.Or(catchUp, defaultCatchUpPeriod)-pollGrace-lateCallReserve)
}

// storeRetryDelay returns the longest mean delay before a failed poll is sent again. A poll that
// was lost just before the store could be reached again, a delay of up to 3/2 of the mean and a last call fit
// into the catch-up period.
func storeRetryDelay(catchUp time.Duration) time.Duration {
	d := (cmp.Or(catchUp, defaultCatchUpPeriod) - storeTimeout - lateCallReserve) * 2 / 3
	return min(maxStoreRetryDelay, max(minStoreRetryDelay, d))
}

// serverRowTTL returns how long the row of a server that is gone stays in a store that was
// restored. The platform removes it after three intervals of silence, and the removal is
// read one poll later.
func serverRowTTL(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return 0
	}
	return 4*heartbeat + 2*maxServersPollInterval
}

// New returns a daemon that is not started yet. It sets the soft memory limit of the
// process.
func New(s platform.Settings, n Network, l *log.Logger) (*Daemon, error) {
	n = n.withDefaults()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	d := &Daemon{settings: s, network: n, log: l, retryBudgets: make(map[string]*backend.RetryBudget)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.store = &platform.StoreClient{Address: s.StoreAddress, HTTP: &http.Client{Transport: transport.NewChecked(n.newTransport(0, defaultIdleTimeout))}}
	d.balancer = &backend.Balancer{DataCenter: s.DataCenter}
	d.limits = &backend.Limits{}
	d.table = &table.Client{Read: d.readStore, Apply: d.applyStore}
	d.overload.Cores, d.overload.ByCost = s.Cores, d.isByCost
	d.builds = &backend.BuildHistory{}
	d.streams = &backend.StreamOrigins{IsShared: d.builds.IsMixed}
	prompts, requests := &backend.PromptQuarantine{}, &backend.RequestQuarantine{}
	d.state = &platformState{log: l, changed: make(chan struct{}, 1), servers: backend.Registry{RowTTL: serverRowTTL(s.HeartbeatInterval)}}
	ttl, margin, renewEvery := leaseTimings(s.OwnerAlternationGap)
	cfg := node.Config{
		Name: s.Node, Address: s.PeerAddress, Region: s.Region, DataCenter: s.DataCenter,
		Table: d.table, Sequencer: d.sequencer, Streams: d.streams, Builds: d.builds, EngineOrigin: d.engineOrigin,
		Prompts: prompts, Requests: requests, Limits: d.limits, SettingsPushed: true, OwnerAlternationGap: s.OwnerAlternationGap, LeaseTTL: ttl, LeaseMargin: margin,
		RenewEvery: renewEvery, TableRenewEvery: sessionRenewInterval, PollEvery: sessionPollInterval, ProbeAfter: probeAfter, ProbeTimeout: probeTimeout, DrainGrace: time.Millisecond, PeerHTTP: n.newPeerClient(), IsOverloaded: d.overload.RejectsSome, ByCost: d.isByCost, Clock: n.Clock, OnResume: d.closeIdleConnections, Log: l, Seed: uint64(time.Now().UnixNano()),
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.QuotaRule, cfg.Quota = quota.Rule{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}, d.state.quota
	d.node = node.New(cfg)
	d.store.OnGeneration = func(generation int64) {
		d.node.ObserveGeneration(generation)
		d.builds.ForgetRows() // the copy may lack them
	}
	prompts.IsTrialNode, requests.IsTrialNode = d.node.IsTrialNode, d.node.IsRequestTrialNode
	d.state.store, d.state.enginesChanged = d.node.Store(), d.node.ReconcileOwnership
	d.state.accountsInForce = d.node.ExpectQuotas
	d.operatorFeed = d.newFollower(platform.OperatorTable, operatorPollWait(s.CatchUpPeriod), 0, d.state.replaceOperatorRows, d.state.applyOperatorChanges)
	d.operatorFeed.OnRead = func(r feed.Read) {
		l.Info("operator's rows read", "version", r.Version, "rows", r.Rows, "complete", r.Complete, "store-ms", r.StoreTime.Milliseconds(), "call-ms", r.Elapsed.Milliseconds(), "apply-ms", r.ApplyTime.Milliseconds(), "age-ms", r.Age.Milliseconds())
	}
	d.serversFeed = d.newFollower(platform.ServersTable, 0, serversPollInterval(s.DrainPeriod), d.state.replaceServerRows, d.state.applyServerChanges)
	d.builds.Age = func() time.Duration { return d.age(d.serversFeed) }
	d.transports = &poolTransports{network: n, nodeCount: d.node.LiveNodes, usable: d.state.isUsable, paused: d.isPaused, callerLeft: d.callerLeft, onLate: d.recordLate}
	d.metrics = newMetrics(d.node.Meter())
	for f, name := range map[*feed.Follower]string{d.operatorFeed: "configuration-age-seconds", d.serversFeed: "servers-age-seconds"} {
		d.node.Meter().Gauge(name, "time since when changes of the table may have been missed", func() float64 { return d.age(f).Seconds() })
	}
	d.node.Meter().Gauge("configuration-behind-seconds", "time since when changes of the configuration are missing that the store has; 0 while none are expected", func() float64 { return d.operatorFeed.Behind().Seconds() })
	d.node.Meter().Gauge("ordered-by-cost", "1 while requests are ordered and refused by what that costs callers", func() float64 {
		if d.isByCost() {
			return 1
		}
		return 0
	})
	d.node.Meter().Gauge("admitted-part", "part of the new requests that the node has processor time for", func() float64 {
		high, low := d.overload.Admitted(time.Now())
		return (high + low) / 2
	})
	d.places.nodes = d.node.LiveNodeNames
	d.balancer.Places = func(s *backend.Server) int { return d.places.get(s, d.settings.Node) }
	d.acquirer = d.node.Acquirer(engine.NewRouter(engine.RouterConfig{}), d.state.hasLoaded, func() bool { return false })
	d.acquirer.CanUse = d.canUseEngine
	d.acquirer.RequestGrant = d.withTurnDelays(d.acquirer.RequestGrant)
	d.relayHandler = &relay.Handler{
		Table: d.state.routes.Load, IsTableCurrent: d.isConfigurationCurrent, IsTableOutdated: d.isConfigurationOutdated, TableAge: func() time.Duration { return d.age(d.operatorFeed) }, Servers: d.state.servers.View, RequiredVersion: d.state.adapterVersion,
		DecodeRequest: platform.DecodeRequestHead, NewServerRequest: platform.NewReplicaRequest, DecodeResponse: platform.DecodeResponseHead, RequestIDHeader: platform.RequestIDHeader,
		Transport: d.transports.forPool, Acquire: d.acquire, Release: d.node.Release,
		Prompts: prompts, OnQuarantine: d.node.LogQuarantine, Requests: requests, OnRequestQuarantine: d.node.LogRequestQuarantine,
		RetryBudget: d.retryBudget, Balancer: d.balancer, RecordAsks: d.recordAsks, IsLimited: d.limits.IsLimited, TakeTurn: d.takeTurn, Observe: d.observe,
		IsOverloaded: d.overload.Rejects, AdmitPlain: d.admitPlain, ObservePlain: d.poolGates.Observe, CallerLeft: d.callerLeft, TakeQuota: d.node.TakeQuota,
		FindOrigin: d.findOrigin, RecordOrigin: d.streams.Begin, WithdrawStream: d.node.WithdrawStream, MayBegin: d.mayBegin,
	}
	d.relayHandler.Relays = d.newRelays()
	return d, nil
}

// closeIdleConnections closes the idle connections to the store and the servers. While the VM
// was suspended the other ends may have given them up, and a request that is sent on such a connection
// fails without telling whether it ran.
func (d *Daemon) closeIdleConnections() {
	d.store.HTTP.CloseIdleConnections()
	d.transports.closeIdle()
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

func (d *Daemon) acquire(ctx context.Context, names []string, work engine.Work) (caller.Grant, error) {
	req := caller.GrantRequest{Work: work, Engines: names}
	if _, adapter := engine.SplitAdapterName(work.Adapter); adapter == "" {
		req.Work.Adapter, req.PlacementKey = "", work.ID // every engine serves its base model, so the request's ID selects the engine
	}
	return d.acquirer.Acquire(ctx, req)
}

// sequencer returns the sequencer that sends commands to a replica.
func (d *Daemon) sequencer(b settings.BackendServer) *engine.Sequencer {
	findServer := func() (backend.Server, *platform.ReplicaClient, error) {
		s, ok := d.state.servers.View().Server(b.Name)
		routes := d.state.routes.Load()
		if !ok || routes == nil {
			return backend.Server{}, nil, &engine.Error{Op: "order", Kind: engine.NotSent, Engine: b.Name}
		}
		if d.isEnginePaused(b.Name) {
			return backend.Server{}, nil, &engine.Error{Op: "order", Kind: engine.NotSent, Engine: b.Name, Err: errors.New("the engine has asked for a pause")}
		}
		pool, _ := routes.Pool(s.Pool)
		hc := &http.Client{Transport: d.transports.forPool(pool)}
		return *s, &platform.ReplicaClient{HTTP: hc, Node: d.settings.Node, OnAsks: d.recordControlAsks}, nil
	}
	return &engine.Sequencer{
		Send: func(ctx context.Context, c engine.Command) (engine.Reply, error) {
			s, client, err := findServer()
			if err != nil {
				return "", err
			}
			return d.sendCommand(ctx, client, s, c)
		},
		FetchState: func(ctx context.Context) (engine.State, error) {
			s, client, err := findServer()
			if err != nil {
				return engine.State{}, err
			}
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			return client.FetchState(ctx, s)
		},
	}
}

// retryBudget returns this node's share of the retry budget of a pool.
func (d *Daemon) retryBudget(pool string) *backend.RetryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.retryBudgets[pool]
	if budget == nil {
		budget = &backend.RetryBudget{}
		d.retryBudgets[pool] = budget
	}
	nodeCount := max(minBudgetNodes, d.node.LiveNodes())
	budget.SetBounds(d.settings.RetryRatio*retryBudgetShare, float64(d.settings.RetrySlack)*retryBudgetShare/float64(nodeCount), d.settings.RetryWindow)
	return budget
}

// retryBudgetShare is the part of the retry budget that is used. The rest allows for
// nodes that join and leave within the window of the budget.
const retryBudgetShare = 0.8

// minBudgetNodes is the least number of nodes that the slack of the retry budget is
// divided by, since a node that has just started does not know the others yet.
const minBudgetNodes = 4

// Start opens the listeners and starts serving.
func (d *Daemon) Start() error {
	limits := newClientLimits(d, d.ClientLimits)
	for _, l := range []struct {
		name, address string
		files         int // part of the descriptors
		srv           *http.Server
	}{
		{"readiness", d.settings.ReadinessAddress, operatorFiles, &http.Server{Handler: http.HandlerFunc(d.serveReadiness)}},
		{"peers", d.settings.PeerAddress, peerFiles, peer.NewHTTPServer(d.relayHandler.RelayedHandler(d.node.Peers()), nil)},
		{"operators", d.settings.OperatorAddress, operatorFiles, &http.Server{Handler: d.node.Operators()}},
	} {
		ln, err := d.network.Listen(l.address)
		if err != nil {
			return err
		}
		limits.internal(l.srv)
		ln = limits.listener(ln, l.name, memory.OfPeer, limits.maxConns(l.files), "")
		d.servers = append(d.servers, l.srv)
		go func() { _ = l.srv.Serve(ln) }() // returns when the server is closed
	}
	ln, err := d.network.Listen(d.settings.CallerAddress)
	if err != nil {
		return err
	}
	d.relayHandler.Memory, d.relayHandler.BodyProgress = limits.memory, limits.bodyProgress
	d.callerServer = caller.NewServer(&http.Server{Handler: d.relayHandler, ReadHeaderTimeout: headTimeout, ConnContext: withCallerConn})
	d.callerServer.HeadLimits = limits.heads
	ln = limits.callerListener(ln)
	d.tasks.Go(limits.run)
	go func() { _ = d.callerServer.Serve(ln) }() // returns after Shutdown
	d.node.Start()
	d.tasks.Go(func() { d.operatorFeed.Run(d.ctx) })
	d.tasks.Go(func() { d.serversFeed.Run(d.ctx) })
	d.tasks.Go(d.keepBuilds)
	d.tasks.Go(d.watchLoad)
	d.tasks.Go(d.watchReach)
	d.tasks.Go(func() {
		t := time.NewTicker(restoredInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				d.state.updateRestoredServers()
			case <-d.ctx.Done():
				return
			}
		}
	})
	d.log.Info("started", "callers", d.settings.CallerAddress, "peers", d.settings.PeerAddress,
		"metrics", d.settings.OperatorAddress, "store", d.settings.StoreAddress)
	return nil
}

func (d *Daemon) newFollower(tableName string, wait, interval time.Duration, reset func(table.Snapshot), apply func(table.Changes)) *feed.Follower {
	return &feed.Follower{
		Table: tableName, ReadAll: d.store.ReadTable, ReadChanges: d.store.WaitChanges, Reset: reset, Apply: apply,
		PollWait: wait, PollGrace: pollGrace, ResponseTimeout: storeTimeout, MinInterval: interval, RetryDelay: minStoreRetryDelay, MaxRetryDelay: storeRetryDelay(d.settings.CatchUpPeriod), Clock: d.network.Clock,
		OnDown: func(err error) {
			d.log.Warn("store lost", "table", tableName, "err", err)
			if tableName == platform.ServersTable {
				d.state.servers.StoreUnavailable()
				d.builds.SetStoreLost(true)
			}
		},
		OnReadAgain: func(version int64, reason string) {
			d.log.Info("reading table again", "table", tableName, "version", version, "reason", reason)
		},
		OnUp: func() {
			d.log.Info("store regained", "table", tableName)
			if tableName == platform.ServersTable {
				d.state.servers.StoreAvailable(time.Now())
				d.builds.SetStoreLost(false)
			}
		},
	}
}

// age returns the time since when changes of the follower's table may have been missed, or 0 if no
// poll has been answered yet.
func (d *Daemon) age(f *feed.Follower) time.Duration {
	at := f.CurrentAt()
	if at.IsZero() {
		return 0
	}
	return d.network.Clock.Boot().Sub(at)
}

// isConfigurationCurrent reports whether no poll for configurations is overdue, and one has been
// answered.
func (d *Daemon) isConfigurationCurrent() bool {
	f := d.operatorFeed
	return !f.CurrentAt().IsZero() && d.age(f) <= f.PollWait+f.PollGrace
}

// isConfigurationOutdated reports whether a configuration that was not read yet must be in force already.
func (d *Daemon) isConfigurationOutdated() bool {
	return d.operatorFeed.Behind() > cmp.Or(d.settings.ConfigDeadline, defaultConfigDeadline)
}

// serveReadiness responds to the load balancer's readiness checks.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.shuttingDown.Load() || d.state.routes.Load() == nil || d.state.servers.View() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload applies the settings that can change while the process runs: the retry
// budget and the grace period. It reports whether any other setting differs, which
// takes effect at the next start.
func (d *Daemon) Reload(next platform.Settings) (restart bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.settings // assigned field by field, since the other fields are read without the lock
	s.RetryRatio, s.RetrySlack, s.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
	s.GracePeriod = next.GracePeriod
	return *s != next
}

// Close hands the engines over to other nodes, finishes the requests in flight and
// stops, within the platform's grace period.
func (d *Daemon) Close() {
	d.mu.Lock()
	grace := d.settings.GracePeriod
	d.mu.Unlock()
	d.log.Info("stopping", "grace", grace)
	d.shuttingDown.Store(true)
	d.callerServer.AskToClose()
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	d.tasks.Go(func() { d.node.HandOverEngines(ctx) })
	time.Sleep(acceptAfterSIGTERM)
	idle := d.relayHandler.Close()
	defer context.AfterFunc(ctx, d.relayHandler.End)()
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.log.Warn("requests in flight were aborted at the end of the grace period", "err", err)
	}
	select {
	case <-idle: // requests that other nodes relayed have ended as well
	case <-ctx.Done():
	}
	if err := d.node.Close(ctx); err != nil {
		d.log.Warn("node did not shut down within the grace period", "err", err)
	}
	d.cancel()
	for _, srv := range d.servers {
		_ = srv.Close() // no request is in flight any more
	}
	d.tasks.Wait()
	d.log.Info("stopped")
}
