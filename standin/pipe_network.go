package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// PipeNetwork is an in-memory network of byte streams, for programs that open
// listeners and connections themselves. The zero value has no listeners.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	silent    map[string]*atomic.Bool // by address, of the connections since the last Silence
	delays    map[pipeLink]func() time.Duration
	lastPort  int // last port that was assigned for port 0
}

// pipeLink is the link from a host to an address.
type pipeLink struct{ from, to string }

type pipeListener struct {
	network *PipeNetwork
	address pipeAddr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "wire" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }

// Listen listens at an address. For port 0 it assigns a free port.
func (n *PipeNetwork) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		n.lastPort++
		address = fmt.Sprintf("%s:%d", host, n.lastPort)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	if n.listeners[address] != nil {
		return nil, errors.AlreadyExistsf("listener at %s", address)
	}
	l := &pipeListener{network: n, address: pipeAddr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at an address, from a host without a name.
func (n *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return n.DialFrom(ctx, "", address)
}

// DialFrom connects a host to the listener at an address.
func (n *PipeNetwork) DialFrom(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l, silent := n.listeners[address], n.silentFlag(address)
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "wire", Addr: pipeAddr(address), Err: errors.New("connection refused")}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- &pipeConn{Conn: server, address: l.address, silent: silent}:
		return &pipeConn{Conn: client, address: l.address, silent: silent, delay: func() time.Duration { return n.delayOn(pipeLink{host, address}) }}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "wire", Addr: l.address, Err: errors.New("connection reset")}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Silence makes the connections to an address that are open deliver nothing further. They
// stay open, and new ones work.
func (n *PipeNetwork) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentFlag(address).Store(true)
	delete(n.silent, address)
}

// SetDelay delays what a host writes to an address, on connections that are open as well, by
// what a function returns for each write. A nil function ends it.
func (n *PipeNetwork) SetDelay(host, address string, delay func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = make(map[pipeLink]func() time.Duration)
	}
	n.delays[pipeLink{host, address}] = delay
}

// delayOn returns the delay of the next write on a link.
func (n *PipeNetwork) delayOn(link pipeLink) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if delay := n.delays[link]; delay != nil {
		return delay()
	}
	return 0
}

// silentFlag returns the flag of new connections to an address. The caller holds n.mu.
func (n *PipeNetwork) silentFlag(address string) *atomic.Bool {
	if n.silent == nil {
		n.silent = make(map[string]*atomic.Bool)
	}
	if n.silent[address] == nil {
		n.silent[address] = &atomic.Bool{}
	}
	return n.silent[address]
}

// Deliver hands a connection that the caller made to the listener at an address.
func (n *PipeNetwork) Deliver(address string, c net.Conn) error {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return errors.NotFoundf("listener at %s", address)
	}
	select {
	case l.conns <- c:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.address }
