package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// Sizes and times of the stand-in of the platform. The engines are as fast as those
// in the deployments' data sheets. They have fewer slots in total than there are
// adapters, so that adapters are loaded and unloaded.
const (
	daemonCount         = 3
	replicaCount        = 3
	ledgerCount         = 2
	engineAdapters      = 60
	adapterSlots        = 12
	ownerAlternationGap = 3 * time.Second
	gracePeriod         = 8 * time.Second
	versionDeadline     = 5 * time.Second
	readyTimeout        = 15 * time.Second
	daemonMemoryBytes   = 284 << 20
	copyInterval        = 7 // responses for each that is sent a second time
)

// softwareVersions are those of the engines, in turn.
var softwareVersions = []string{"v1", "v2"}

// platformSystem is the system that runs on a stand-in of the platform.
type platformSystem struct {
	listeners
	client         *http.Client
	store          *standin.Store
	storeAddr      string
	replicas       []*standin.Replica
	ledgers        []*standin.Replica
	daemons        []*entry.Daemon
	callerAddrs    []string // of the daemons, for callers
	readinessAddrs []string // of the daemons, for the balancer

	// copies counts the responses of replicas since copiesLate was set; every copyInterval-th is
	// sent a second time.
	copies     atomic.Int64
	copiesLate atomic.Bool

	// isCutOff is set while the first daemon gets no new connections to servers.
	isCutOff atomic.Bool

	mu       sync.Mutex
	versions map[string]int64 // latest version by adapter, if it is not 1
}

func newPlatformSystem(n entry.Network, logOut io.Writer) (*platformSystem, error) {
	sys, err := newPlatform(n)
	if err != nil {
		return nil, err
	}
	for i := range daemonCount {
		if err := sys.startDaemon(fmt.Sprintf("front-%d", i+1), sys.storeAddr, logOut); err != nil {
			return nil, err
		}
	}
	return sys, nil
}

// newPlatform starts the stand-in of the platform, without daemons.
func newPlatform(n entry.Network) (*platformSystem, error) {
	sys := &platformSystem{
		listeners: listeners{network: n}, store: &standin.Store{}, versions: map[string]int64{},
		client: &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: workers}},
	}
	storeAddr, err := sys.serve(sys.store)
	if err != nil {
		return nil, err
	}
	sys.storeAddr = storeAddr
	sys.store.Put(platform.ConfigRowKey, platform.ExampleConfig)
	for range replicaCount {
		if err := sys.startEngine(); err != nil {
			return nil, err
		}
	}
	for i := range ledgerCount {
		r := &standin.Replica{Self: backend.Server{ID: fmt.Sprintf("ledger-%d", i+1), Pool: "ledger", MaxRequests: 6}, EventTime: 10 * time.Millisecond, QueueSize: 24}
		sys.ledgers = append(sys.ledgers, r)
		if err := sys.startReplica(r); err != nil {
			return nil, err
		}
	}
	return sys, nil
}

// startEngine starts one more engine.
func (sys *platformSystem) startEngine() error {
	i := len(sys.replicas)
	r := &standin.Replica{
		Self:  backend.Server{ID: fmt.Sprintf("engine-%d", i+1), Pool: "engines", MaxRequests: 16, Build: softwareVersions[i%len(softwareVersions)]},
		Model: baseModel, AdapterSlots: adapterSlots,
		AdapterLoadTime: 250 * time.Millisecond, ModelLoadTime: 500 * time.Millisecond, PrefillTime: 26 * time.Microsecond,
		EventTime: 25 * time.Millisecond, ReportLag: 300 * time.Millisecond, QueueSize: 16,
		LatestVersion: sys.latestVersion,
	}
	sys.replicas = append(sys.replicas, r)
	return sys.startReplica(r)
}

func (sys *platformSystem) startReplica(r *standin.Replica) error {
	key := platform.ServersTable + "/" + r.Self.ID
	r.WriteRow = func(row []byte) { sys.store.Put(key, row) }
	ln, err := sys.listen(freePort)
	if err != nil {
		return err
	}
	sys.runServer(&standin.LateCopies{Listener: ln, IsCopied: sys.isCopied}, &http.Server{Handler: r})
	r.Self.Address = ln.Addr().String()
	r.Start()
	return nil
}

// isCopied reports whether a replica sends a response a second time.
func (sys *platformSystem) isCopied([]byte) bool {
	return sys.copiesLate.Load() && sys.copies.Add(1)%copyInterval == 0
}

func (sys *platformSystem) startDaemon(name, storeAddr string, logOut io.Writer) error {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = sys.freeAddress(); err != nil {
			return err
		}
	}
	d, err := entry.New(platform.Settings{
		Node: name, IP: netip.MustParseAddr("127.0.0.1"), CallerAddress: addrs[0], ReadinessAddress: addrs[1], PeerAddress: addrs[2], OperatorAddress: addrs[3],
		StoreAddress: storeAddr, MemoryBytes: daemonMemoryBytes, OwnerAlternationGap: ownerAlternationGap, GracePeriod: gracePeriod, DrainPeriod: drainPeriod,
		RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second,
	}, sys.networkOf(len(sys.daemons)), log.NewWithOptions(logOut, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter}).With("node", name))
	if err != nil {
		return err
	}
	sys.daemons, sys.callerAddrs, sys.readinessAddrs = append(sys.daemons, d), append(sys.callerAddrs, addrs[0]), append(sys.readinessAddrs, addrs[1])
	return d.Start()
}

// networkOf returns the network of the ith daemon.
func (sys *platformSystem) networkOf(i int) entry.Network {
	n := sys.network
	if i > 0 {
		return n
	}
	dial := n.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	n.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if sys.isCutOff.Load() && sys.isServer(address) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		return dial(ctx, network, address)
	}
	return n
}

func (sys *platformSystem) isServer(address string) bool {
	return slices.ContainsFunc(slices.Concat(sys.replicas, sys.ledgers), func(r *standin.Replica) bool { return r.Self.Address == address })
}

// freeAddress returns an address without a listener.
func (sys *platformSystem) freeAddress() (string, error) {
	ln, err := sys.listen(freePort)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// waitReady waits until every daemon reports that it is ready and every engine has an
// owner.
func (sys *platformSystem) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, addr := range sys.readinessAddrs {
		for !sys.isReady(addr) {
			if time.Now().After(deadline) {
				return &Error{Op: "start", Kind: "set-up", Violations: []string{addr + " is not ready"}}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for len(sys.ownedEngines()) < len(sys.replicas) {
		if time.Now().After(deadline) {
			return &Error{Op: "start", Kind: "set-up", Violations: []string{"not every engine has an owner"}}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (sys *platformSystem) isReady(address string) bool {
	resp, err := sys.client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ownedEngines returns the ownership rows that name an owner.
func (sys *platformSystem) ownedEngines() []table.Owner {
	var owned []table.Owner
	for _, row := range sys.store.Rows(table.OwnerPrefix) {
		if o, err := table.DecodeOwner(row); err == nil && o.Node != "" {
			owned = append(owned, o)
		}
	}
	return owned
}

// publishVersion publishes a new version of an adapter.
func (sys *platformSystem) publishVersion(adapter string, version int64) {
	sys.mu.Lock()
	sys.versions[engine.JoinAdapterName(baseModel, adapter)] = version
	sys.mu.Unlock()
	p := platform.EncodeAdapterVersion(platform.AdapterVersion{Model: baseModel, Adapter: adapter, Version: version})
	sys.store.Put(p.Key, p.Value)
}

// latestVersion returns the version that a load command without a version loads.
func (sys *platformSystem) latestVersion(name string) int64 {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return max(1, sys.versions[name])
}

// removeReplica removes a replica's row from the store.
func (sys *platformSystem) removeReplica(r *standin.Replica) {
	sys.store.Remove(platform.ServersTable + "/" + r.Self.ID)
}

// ownerViolations checks all commands that arrived at the engines.
func (sys *platformSystem) ownerViolations() (violations []string) {
	for _, r := range sys.replicas {
		violations = append(violations, standin.OwnerViolations(r.Self.ID, r.Record().Commands, false, ownerAlternationGap)...)
	}
	return violations
}

func (sys *platformSystem) close() {
	for _, d := range sys.daemons {
		if d != nil {
			d.Close()
		}
	}
	sys.closeListeners()
	sys.client.CloseIdleConnections()
}
