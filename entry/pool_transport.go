package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
)

// defaultIdleTimeout is how long an idle connection is kept to a server whose
// responses have no Keep-Alive timeout.
const defaultIdleTimeout = 4 * time.Second

// poolTransports holds one HTTP transport per pool of servers. The pools' limits on
// connections are divided among the nodes.
type poolTransports struct {
	network   Network
	nodeCount func() int // number of nodes that share the limits

	mu    sync.Mutex
	pools map[string]*poolTransport
}

// poolTransport is the HTTP transport to the servers of one pool.
type poolTransport struct {
	parent      *poolTransports
	name        string
	transport   *http.Transport
	maxPerHost  int
	idleTimeout time.Duration
}

// minConnsPerHost is the smallest limit on a node's connections per server, whatever
// the number of nodes.
const minConnsPerHost = 2

// forPool returns the transport to the servers of a pool.
func (c *poolTransports) forPool(p route.Pool) http.RoundTripper {
	maxPerHost := max(minConnsPerHost, p.MaxConns/max(1, c.nodeCount()))
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.pools[p.Name]
	if old != nil && old.maxPerHost == maxPerHost {
		return old
	}
	idleTimeout := defaultIdleTimeout
	if old != nil {
		idleTimeout = old.idleTimeout
	}
	return c.replaceTransport(p.Name, maxPerHost, idleTimeout)
}

// replaceTransport gives a pool a new transport. The connections of the old one are
// closed when their requests end. The caller holds c.mu.
func (c *poolTransports) replaceTransport(pool string, maxPerHost int, idleTimeout time.Duration) *poolTransport {
	if c.pools == nil {
		c.pools = make(map[string]*poolTransport)
	}
	if old := c.pools[pool]; old != nil {
		defer old.transport.CloseIdleConnections()
	}
	t := &poolTransport{parent: c, name: pool, transport: c.network.newTransport(maxPerHost, idleTimeout), maxPerHost: maxPerHost, idleTimeout: idleTimeout}
	c.pools[pool] = t
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *poolTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(r)
	if err == nil {
		t.parent.setIdleTimeout(t.name, platform.KeepAliveTimeout(resp.Header))
	}
	return resp, err
}

// setIdleTimeout sets the idle timeout of a pool to four fifths of the Keep-Alive
// timeout that one of its servers announced, so that idle connections are closed on
// this side first.
func (c *poolTransports) setIdleTimeout(pool string, keepAlive time.Duration) {
	idleTimeout := keepAlive * 4 / 5
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.pools[pool]; t != nil && idleTimeout > 0 && t.idleTimeout != idleTimeout {
		c.replaceTransport(pool, t.maxPerHost, idleTimeout)
	}
}
