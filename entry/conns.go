package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
)

const (
	// dialTimeout bounds a new connection: many round trips within a region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, such as
	// one to a VM without power.
	userTimeout = 1500 * time.Millisecond
	// probeIdle and probeEvery find idle connections whose other end is gone.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// idleConns is how long a connection is kept without use to a server that
	// does not say how long it keeps it.
	idleConns = 4 * time.Second
	// ioBuffer is the size of a connection's buffers.
	ioBuffer = 4 << 10
)

// dial opens a connection that notices a silent peer.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
	return d.DialContext(ctx, network, address)
}

// Network is how a daemon reaches others and is reached. The zero value is TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// withDefaults fills in TCP.
func (n Network) withDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		n.Dial = dial
	}
	return n
}

// transport returns connections of which no request is compressed.
func (n Network) transport(perHost int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: n.Dial, DisableCompression: true, MaxConnsPerHost: perHost, MaxIdleConnsPerHost: max(perHost, 16),
		IdleConnTimeout: idle, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer,
	}
}

// conns holds the connections to the servers of each pool. The servers' limit
// on connections is shared by all nodes.
type conns struct {
	network Network
	nodes   func() int // that share the limit

	mu    sync.Mutex
	pools map[string]*poolConns
}

// poolConns is the connections to the servers of one pool.
type poolConns struct {
	c         *conns
	name      string
	transport *http.Transport
	perHost   int
	idle      time.Duration
}

// minConns is what a node keeps however many nodes there are.
const minConns = 2

// pool returns the connections to the servers of a pool.
func (c *conns) pool(p route.Pool) http.RoundTripper {
	perHost := max(minConns, p.MaxConns/max(1, c.nodes()))
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.pools[p.Name]
	if old != nil && old.perHost == perHost {
		return old
	}
	idle := idleConns
	if old != nil {
		idle = old.idle
	}
	return c.replace(p.Name, perHost, idle)
}

// replace gives a pool new connections; the old ones end with their requests.
// The lock is held.
func (c *conns) replace(name string, perHost int, idle time.Duration) *poolConns {
	if c.pools == nil {
		c.pools = make(map[string]*poolConns)
	}
	if old := c.pools[name]; old != nil {
		defer old.transport.CloseIdleConnections()
	}
	pc := &poolConns{c: c, name: name, transport: c.network.transport(perHost, idle), perHost: perHost, idle: idle}
	c.pools[name] = pc
	return pc
}

// RoundTrip implements http.RoundTripper.
func (pc *poolConns) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := pc.transport.RoundTrip(r)
	if err == nil {
		pc.c.learn(pc.name, platform.KeepAlive(resp.Header))
	}
	return resp, err
}

// learn takes how long a server of the pool says that it keeps idle
// connections. They are closed here before, with a margin of a fifth.
func (c *conns) learn(name string, keepAlive time.Duration) {
	idle := keepAlive * 4 / 5
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc := c.pools[name]; pc != nil && idle > 0 && pc.idle != idle {
		c.replace(name, pc.perHost, idle)
	}
}
