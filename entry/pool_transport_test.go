package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/transport"
)

// transportFixture is a server that counts its connections, and a pool of one server.
type transportFixture struct {
	transports *poolTransports
	pool       route.Pool
	url        string
	dials      atomic.Int64
	nodes      atomic.Int64
	keepAlive  atomic.Pointer[string]
	hold       chan struct{} // requests with a body wait for it
}

func newTransportFixture(t *testing.T, maxConns int) *transportFixture {
	f := &transportFixture{pool: route.Pool{Name: "p", MaxConns: maxConns}, hold: make(chan struct{})}
	f.nodes.Store(1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k := f.keepAlive.Load(); k != nil {
			w.Header().Set("Keep-Alive", *k)
		}
		if r.ContentLength > 0 {
			<-f.hold
		}
		_, _ = io.WriteString(w, "ok") // fails only if the test closed the connection
	}))
	t.Cleanup(srv.Close)
	f.url = srv.URL
	f.transports = &poolTransports{
		nodeCount: func() int { return int(f.nodes.Load()) },
		network: Network{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			f.dials.Add(1)
			return dial(ctx, network, address)
		}},
	}
	return f
}

func (f *transportFixture) get(ctx context.Context, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.transports.forPool(f.pool).RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against new connections to all servers whenever a node joins or leaves, or
// servers announce different Keep-Alive timeouts.
func TestConnectionsOutliveChanges(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 400)
	shortest := "timeout=3"
	f.keepAlive.Store(&shortest)
	is.NoErr(f.get(context.Background(), ""))
	is.NoErr(f.get(context.Background(), ""))
	before := f.dials.Load()
	for i, k := range []string{"timeout=4", "timeout=3", "timeout=9", "timeout=4"} {
		f.keepAlive.Store(&k)
		f.nodes.Store(int64(10 + i))
		is.NoErr(f.get(context.Background(), ""))
	}
	is.Equal(f.dials.Load(), before)
}

// Guards against requests on connections that servers gave up while this VM was suspended.
func TestIdleConnectionsEndWithASuspension(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 400)
	d := &Daemon{store: &platform.StoreClient{HTTP: &http.Client{}}, transports: f.transports}
	is.NoErr(f.get(context.Background(), ""))
	d.closeIdleConnections()
	is.NoErr(f.get(context.Background(), ""))
	is.Equal(f.dials.Load(), int64(2))
}

// The nodes share the connections that a server accepts.
func TestConnectionsStayWithinShare(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 8)
	f.nodes.Store(2)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if err := f.get(context.Background(), "x"); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	is.Equal(f.dials.Load(), int64(4))
	close(f.hold)
	wg.Wait()
	is.True(f.dials.Load() <= 5) // one may be dialled while another is about to become idle
}

// Guards against requests that wait for a connection while their server begins to drain,
// and reach it too late.
func TestWaitingRequestIsNotSentToDrainingServer(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 2)
	var draining atomic.Bool
	f.transports.usable = func(string) bool { return !draining.Load() }
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { is.NoErr(f.get(context.Background(), "x")) })
	}
	time.Sleep(50 * time.Millisecond)
	late := make(chan error)
	go func() { late <- f.get(context.Background(), "") }()
	time.Sleep(50 * time.Millisecond)
	draining.Store(true)
	close(f.hold)
	err := <-late
	is.True(err != nil && transport.IsDialError(err)) // so it counts as not sent
	wg.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(f.get(ctx, "") != nil)
	draining.Store(false)
	is.NoErr(f.get(context.Background(), "")) // nothing is still counted as in flight
	is.NoErr(f.get(context.Background(), ""))
}

// Guards against requests and commands that reach a server during its pause, since they
// were about to be sent, or waited for a connection, when it began.
func TestRequestIsNotSentToPausedServer(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 2)
	var paused atomic.Bool
	f.transports.paused = func(string) bool { return paused.Load() }
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { is.NoErr(f.get(context.Background(), "x")) })
	}
	time.Sleep(50 * time.Millisecond)
	late := make(chan error)
	go func() { late <- f.get(context.Background(), "") }()
	time.Sleep(50 * time.Millisecond)
	paused.Store(true)
	close(f.hold)
	err := <-late
	is.True(err != nil && transport.IsDialError(err)) // so it counts as not sent
	wg.Wait()
	for range 3 { // more than the limit, so nothing is still counted as in flight
		err = f.get(context.Background(), "")
		is.True(err != nil && transport.IsDialError(err))
	}
	paused.Store(false)
	is.NoErr(f.get(context.Background(), ""))
}

// Guards against requests that reach a server too late, since it began to drain while their
// connection was made.
func TestRequestIsNotSentToServerThatLeftMeanwhile(t *testing.T) {
	is := is.New(t)
	f := newTransportFixture(t, 2)
	var draining atomic.Bool
	f.transports.usable = func(string) bool { return !draining.Load() }
	f.transports.network.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		draining.Store(true)
		time.Sleep(lookValidFor + 10*time.Millisecond)
		return dial(ctx, network, address)
	}
	err := f.get(context.Background(), "")
	is.True(err != nil && transport.IsDialError(err)) // so it counts as not sent
	f.transports.network.Dial = dial
	draining.Store(false)
	is.NoErr(f.get(context.Background(), ""))
}
