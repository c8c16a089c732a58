package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
	// idleConns is how long a connection to a server is kept without use. It is
	// below the keep-alive time of the servers.
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

// newTransport returns connections of which no request is compressed.
func newTransport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext: dial, DisableCompression: true, MaxConnsPerHost: perHost, MaxIdleConnsPerHost: max(perHost, 16),
		IdleConnTimeout: idleConns, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer,
	}
}

// conns holds the connections to the servers of each pool. The servers' limit
// on connections is shared by all nodes.
type conns struct {
	nodes func() int // that share the limit

	mu    sync.Mutex
	pools map[string]*poolConns
}

type poolConns struct {
	transport *http.Transport
	perHost   int
}

// minConns is what a node keeps however many nodes there are.
const minConns = 2

func (c *conns) pool(p route.Pool) http.RoundTripper {
	perHost := max(minConns, p.MaxConns/max(1, c.nodes()))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[string]*poolConns)
	}
	pc := c.pools[p.Name]
	if pc == nil || pc.perHost != perHost {
		if pc != nil {
			defer pc.transport.CloseIdleConnections()
		}
		pc = &poolConns{transport: newTransport(perHost), perHost: perHost}
		c.pools[p.Name] = pc
	}
	return pc.transport
}
