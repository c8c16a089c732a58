package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/transport"
)

// defaultIdleTimeout is how long an idle connection is kept to a server whose
// responses have no Keep-Alive timeout.
const defaultIdleTimeout = 4 * time.Second

// poolTransports holds one HTTP transport per pool of servers. The pools' limits on
// connections are divided among the nodes.
type poolTransports struct {
	network   Network
	reach     backend.Reach
	nodeCount func() int // number of nodes that share the limits
	// paused, which is optional, reports whether the server at an address has asked this
	// node to send it nothing for a time.
	paused func(address string) bool
	// usable, which is optional, reports whether the server at an address may get new
	// requests. It is called when a request had to wait for a connection.
	usable func(address string) bool
	// callerLeft, which is optional, reports whether the caller of a request has left,
	// given the context of the request.
	callerLeft func(ctx context.Context) bool
	// onLate, which is optional, is called for a response to another request that came before
	// the one to r, with the ID of the connection.
	onLate func(r *http.Request, conn int64, resp *http.Response)

	lastConn atomic.Int64 // ID of the last connection

	mu    sync.Mutex
	pools map[string]*poolTransport
}

// poolTransport is the HTTP transport to the servers of one pool. It outlives changes of
// the number of nodes, since new connections are expensive: only the limit changes.
type poolTransport struct {
	parent *poolTransports

	mu          sync.Mutex
	transport   *http.Transport
	control     *http.Transport // for calls without an ID, of which copies could not be told from other responses
	single      *http.Transport // for requests that get a connection of their own
	idleTimeout time.Duration
	maxPerHost  int
	hosts       map[string]*hostLimit
}

// minConnsPerHost is the smallest limit on a node's connections per server, whatever
// the number of nodes.
const minConnsPerHost = 2

// forPool returns the transport to the servers of a pool.
func (c *poolTransports) forPool(p route.Pool) http.RoundTripper {
	maxPerHost := max(minConnsPerHost, p.MaxConns/max(1, c.nodeCount()))
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pools[p.Name]
	if t == nil {
		t = &poolTransport{parent: c, hosts: make(map[string]*hostLimit)}
		t.setIdleTimeout(defaultIdleTimeout)
		if c.pools == nil {
			c.pools = make(map[string]*poolTransport)
		}
		c.pools[p.Name] = t
	}
	t.setLimit(maxPerHost)
	return t
}

// closeIdle closes the idle connections to all servers.
func (c *poolTransports) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pools {
		t.mu.Lock()
		t.transport.CloseIdleConnections()
		t.control.CloseIdleConnections()
		t.mu.Unlock()
	}
}

func (t *poolTransport) setLimit(maxPerHost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxPerHost == maxPerHost {
		return
	}
	t.maxPerHost = maxPerHost
	for _, h := range t.hosts {
		h.setLimit(maxPerHost)
	}
}

func (t *poolTransport) host(address string) *hostLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		h = &hostLimit{limit: t.maxPerHost}
		t.hosts[address] = h
	}
	return h
}

// transportFor returns the HTTP transport for a request.
func (t *poolTransport) transportFor(r *http.Request) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.Close:
		return t.single
	case r.Header.Get(platform.RequestIDHeader) == "":
		return t.control
	}
	return t.transport
}

// RoundTrip implements http.RoundTripper. An error before the request was sent is a dial
// error.
func (t *poolTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r, used := t.parent.withLook(r, time.Now())
	h := t.host(r.URL.Host)
	waited, err := h.acquire(r.Context())
	if err == nil && waited && t.parent.usable != nil && !t.parent.usable(r.URL.Host) {
		h.release()
		err = errServerLeft
	}
	if err == nil && t.parent.paused != nil && t.parent.paused(r.URL.Host) {
		h.release()
		err = errors.New("the server has asked for a pause")
	}
	if err != nil {
		return nil, transport.Unsent(err)
	}
	sent := time.Now()
	resp, err := t.transportFor(r).RoundTrip(r)
	if err != nil {
		h.release()
		if used.unsent.Load() {
			err = transport.Unsent(err)
		}
		t.parent.observeFailure(r, sent, err)
		return nil, err
	}
	t.parent.reach.ObserveAnswer(time.Now(), r.URL.Host)
	if err := transport.CheckResponse(resp); err != nil {
		h.release()
		used.close()
		_ = resp.Body.Close() // fails only if its connection is closed already
		return nil, err
	}
	used.closeUnlessAnswer(r, resp)
	if keepAlive := platform.KeepAliveTimeout(resp.Header); keepAlive > 0 {
		t.lowerIdleTimeout(keepAlive * 4 / 5)
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, release: sync.OnceFunc(h.release)}
	return resp, nil
}

// lowerIdleTimeout sets the idle timeout to a part of the shortest Keep-Alive timeout that
// any server of the pool has announced, so that idle connections are closed on this
// side first.
func (t *poolTransport) lowerIdleTimeout(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d < t.idleTimeout {
		t.setIdleTimeout(d)
	}
}

// setIdleTimeout replaces the HTTP transport. The connections of the old one are closed
// when their requests end.
func (t *poolTransport) setIdleTimeout(d time.Duration) {
	if t.transport != nil {
		defer t.transport.CloseIdleConnections()
		defer t.control.CloseIdleConnections()
	}
	t.idleTimeout = d
	t.transport, t.control = t.newTransport(d), t.newTransport(d)
	if t.single == nil {
		t.single = t.newTransport(d)
		t.single.DisableKeepAlives = true
	}
}

func (t *poolTransport) newTransport(idleTimeout time.Duration) *http.Transport {
	transport := t.parent.network.newTransport(0, idleTimeout)
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.DialContext = t.parent.dial
	return transport
}

// maxIdleConnsPerHost bounds the idle connections to one server. The limit on requests
// in flight bounds them further.
const maxIdleConnsPerHost = 64

// limitedBody ends a request's use of its connection when the body is closed.
type limitedBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
