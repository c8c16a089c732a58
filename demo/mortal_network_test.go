package demo

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/vanilladrift/vanilladrift/entry"
)

// cutDialTimeout is how long a connection to an address that is cut off is waited for.
const cutDialTimeout = 400 * time.Millisecond

// mortalNetwork is the network of a process that may lose power: its connections then end, and
// nothing that it does reaches anybody any more. It may also be cut off from some addresses.
type mortalNetwork struct {
	entry.Network

	mu      sync.Mutex
	dead    bool
	closers map[interface{ Close() error }]string // open connections and listeners, by address
	isCut   func(address string) bool             // nil while nothing is cut off
}

// cut ends the connections from and to the addresses that isCut names, and lets no new ones come
// about until it is called with nil.
func (n *mortalNetwork) cut(isCut func(address string) bool) {
	n.mu.Lock()
	n.isCut = isCut
	var conns []net.Conn
	for c, address := range n.closers {
		if conn, ok := c.(net.Conn); ok && isCut != nil && isCut(address) {
			conns = append(conns, conn)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // the other end is out of reach
	}
}

func (n *mortalNetwork) reaches(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCut == nil || !n.isCut(address)
}

// kill ends the process for all others.
func (n *mortalNetwork) kill() {
	n.mu.Lock()
	n.dead = true
	closers := n.closers
	n.closers = nil
	n.mu.Unlock()
	for c := range closers {
		_ = c.Close() // of a process that is gone
	}
}

// add remembers what is open, and reports whether the process lives.
func (n *mortalNetwork) add(c interface{ Close() error }, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return false
	}
	if n.closers == nil {
		n.closers = make(map[interface{ Close() error }]string)
	}
	n.closers[c] = address
	return true
}

func (n *mortalNetwork) remove(c interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.closers, c)
}

// network returns the network for the process.
func (n *mortalNetwork) network() entry.Network {
	out := n.Network
	out.Listen = func(address string) (net.Listener, error) {
		ln, err := n.Listen(address)
		if err != nil {
			return nil, err
		}
		return &mortalListener{ln, n, address}, n.check(ln, address)
	}
	out.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !n.reaches(address) {
			select {
			case <-time.After(cutDialTimeout):
			case <-ctx.Done():
			}
			return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
		}
		c, err := n.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &mortalConn{c, n}, n.check(c, address)
	}
	return out
}

func (n *mortalNetwork) check(c interface{ Close() error }, address string) error {
	if n.add(c, address) {
		return nil
	}
	_ = c.Close() // of a process that is gone
	return &net.OpError{Op: "dial", Err: syscall.ENETDOWN}
}

type mortalListener struct {
	net.Listener
	network *mortalNetwork
	address string
}

// Accept implements net.Listener.
func (l *mortalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.network.reaches(l.address) {
		_ = c.Close() // comes from an address that is cut off
	}
	return &mortalConn{c, l.network}, l.network.check(c, l.address)
}

// Close implements net.Listener.
func (l *mortalListener) Close() error {
	l.network.remove(l.Listener)
	return l.Listener.Close()
}

type mortalConn struct {
	net.Conn
	network *mortalNetwork
}

// Close implements net.Conn.
func (c *mortalConn) Close() error {
	c.network.remove(c.Conn)
	return c.Conn.Close()
}
