package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

// daemonFixture is a daemon on stand-ins of the platform's store and of two replicas.
type daemonFixture struct {
	network standin.PipeNetwork
	store   standin.Store
	engine  *standin.Replica
	ledger  *standin.Replica
	daemon  *Daemon
	client  *http.Client
	closers []io.Closer
	late    atomic.Pointer[func(response []byte) bool] // set for servers that send responses again
	catchUp time.Duration                              // of the settings
	// path, if set, replaces dial, and listen replaces the network's Listen.
	path   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(address string) (net.Listener, error)

	mu        sync.Mutex
	log       strings.Builder
	dialDelay time.Duration        // of new connections to servers
	arrivals  map[string]time.Time // of callers' requests at servers, by request ID
	heads     map[string]http.Header
}

// dial connects to servers after the delay, whatever becomes of the context meanwhile.
func (f *daemonFixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	d := f.dialDelay
	f.mu.Unlock()
	if address == f.engine.Self.Address || address == f.ledger.Self.Address {
		time.Sleep(d)
	}
	return f.network.Dial(ctx, network, address)
}

func (f *daemonFixture) setDialDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialDelay = d
}

// Write implements io.Writer for the log.
func (f *daemonFixture) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(p)
}

func (f *daemonFixture) logCount(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Count(f.log.String(), text)
}

func (f *daemonFixture) serve(is *is.I, address string, h http.Handler) {
	ln, err := f.network.Listen(address)
	is.NoErr(err)
	ln = &standin.LateCopies{Listener: ln, IsCopied: func(response []byte) bool {
		isCopied := f.late.Load()
		return isCopied != nil && address != "store:1" && (*isCopied)(response)
	}}
	srv := &http.Server{Handler: h}
	f.closers = append(f.closers, srv)
	go func() { _ = srv.Serve(ln) }() // returns when the server is closed
}

func (f *daemonFixture) startReplica(is *is.I, r *standin.Replica) {
	r.WriteRow = func(row []byte) { f.store.Put(platform.ServersTable+"/"+r.Self.ID, row) }
	f.serve(is, r.Self.Address, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.mu.Lock()
		f.arrivals[req.Header.Get(platform.RequestIDHeader)] = time.Now()
		f.heads[req.Header.Get(platform.RequestIDHeader)] = req.Header
		f.mu.Unlock()
		r.ServeHTTP(w, req)
	}))
	r.Start()
}

func newDaemonFixture(is *is.I) *daemonFixture {
	f := &daemonFixture{}
	f.start(is)
	return f
}

// start starts the stand-ins and the daemon.
func (f *daemonFixture) start(is *is.I) {
	f.arrivals, f.heads = make(map[string]time.Time), make(map[string]http.Header)
	f.serve(is, "store:1", &f.store)
	f.store.Put(platform.ConfigRowKey, platform.ExampleConfig)
	f.engine = &standin.Replica{
		Self: backend.Server{ID: "engine", Pool: "engines", Address: "10.0.0.2:1", MaxRequests: 16}, Model: "base-7b", AdapterSlots: 12,
		AdapterLoadTime: 50 * time.Millisecond, ModelLoadTime: 100 * time.Millisecond, EventTime: 5 * time.Millisecond, QueueSize: 16,
	}
	f.ledger = &standin.Replica{Self: backend.Server{ID: "ledger", Pool: "ledger", Address: "10.0.0.3:1", MaxRequests: 16}, QueueSize: 16}
	f.startReplica(is, f.engine)
	f.startReplica(is, f.ledger)
	n := Network{Listen: f.network.Listen, Dial: f.dial, PeerLeft: isLeft, Clock: clock.Virtual()}
	if f.path != nil {
		n.Dial = f.path
	}
	if f.listen != nil {
		n.Listen = f.listen
	}
	var err error
	f.daemon, err = New(platform.Settings{
		Node: "n", IP: netip.MustParseAddr("10.0.0.1"), CallerAddress: "10.0.0.1:1", ReadinessAddress: "10.0.0.1:2", PeerAddress: "10.0.0.1:3", OperatorAddress: "10.0.0.1:4",
		StoreAddress: "store:1", MemoryBytes: 1 << 30, OwnerAlternationGap: 3 * time.Second, GracePeriod: 8 * time.Second, DrainPeriod: 2 * time.Second,
		RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, CatchUpPeriod: f.catchUp,
	}, n, log.New(f))
	is.NoErr(err)
	is.NoErr(f.daemon.Start())
	f.client = &http.Client{Transport: n.newTransport(0, time.Second)}
}

func (f *daemonFixture) close() {
	f.daemon.Close()
	f.client.CloseIdleConnections()
	for _, c := range f.closers {
		_ = c.Close() // the servers keep no state
	}
	time.Sleep(time.Minute) // lets background goroutines time out
}

// send sends a request and returns the status of the response, or 0 if it broke off.
func (f *daemonFixture) send(is *is.I, path, id, adapter string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://10.0.0.1:1"+path, nil)
	is.NoErr(err)
	r.Host = "assist.example"
	head := relay.RequestHead{ID: id, Timeout: 3 * time.Second}
	if adapter != "" {
		head.Model, head.Adapter, head.PromptTokens, head.MaxTokens = "base-7b", adapter, 10, 3
	}
	platform.EncodeRequestHead(r.Header, head)
	resp, err := f.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against requests, commands or reports that reach a replica while it wants none
// from the node. Requests for adapters that are not loaded make the owner of the engine
// send commands. The pause of one replica begins with a request, a command or a report,
// whichever comes first.
func TestPausedReplicaGetsNothing(t *testing.T) {
	const (
		pause  = 4 * time.Second
		enough = 5 // requests served in two seconds, in which the first load of each adapter takes 250 ms
	)
	for _, name := range []string{"engine", "ledger"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDaemonFixture(is)
				defer f.close()
				paused, path := f.engine, "/chat/x"
				if name == "ledger" {
					paused, path = f.ledger, "/status/x"
				}
				n := 0
				burst := func(d time.Duration) (served int) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						n++
						adapter := ""
						if name == "engine" {
							adapter = fmt.Sprintf("a%d", n%20)
						}
						start := time.Now()
						status := f.send(is, path, fmt.Sprintf("r%d", n), adapter)
						if status == http.StatusOK {
							served++
						}
						if status == http.StatusServiceUnavailable {
							is.True(time.Since(start) < time.Second) // rejected early
						}
					}
					return served
				}
				time.Sleep(10 * time.Second)
				is.True(burst(2*time.Second) >= enough)
				paused.SetFault(standin.ReplicaFault{Refusals: 1, RefusalPause: pause})
				start := time.Now()
				burst(pause)
				is.Equal(paused.Record().TurnedAway, 1)
				is.Equal(paused.Record().DuringPause, 0)
				is.Equal(f.logCount("server asked for a pause"), 1)
				time.Sleep(time.Until(start.Add(pause + time.Second)))
				is.True(burst(2*time.Second) >= enough) // it serves again

				paused.SetFault(standin.ReplicaFault{Refusals: 1, RefusalPause: time.Hour})
				burst(time.Second)
				paused.SetFault(standin.ReplicaFault{})
				paused.Restart() // the new incarnation has asked for nothing
				time.Sleep(5 * time.Second)
				is.True(burst(2*time.Second) >= enough)
				is.Equal(paused.Record().DuringPause, 0)
			})
		})
	}
}

func (f *daemonFixture) replicas() []*standin.Replica {
	return []*standin.Replica{f.engine, f.ledger}
}
