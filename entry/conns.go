package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
)

// idleConns is how long a connection is kept without use to a server that does
// not say how long it keeps it.
const idleConns = 4 * time.Second

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
		pc.c.learn(pc.name, platform.KeepAliveTimeout(resp.Header))
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
