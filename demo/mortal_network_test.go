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
	how     cutKind
}

// cutKind tells what becomes of connections to addresses that are cut off.
type cutKind string

const (
	cutEnds    cutKind = "connections end, new ones time out"
	cutRefuses cutKind = "connections live, new ones are refused"
	cutHangs   cutKind = "connections hang"
)

// cutUserTimeout is how long a connection that hangs lives on, as TCP's user timeout makes it.
const cutUserTimeout = 1500 * time.Millisecond

// cut ends the connections from and to the addresses that isCut names, and lets no new ones come
// about until it is called with nil.
func (n *mortalNetwork) cut(isCut func(address string) bool) { n.cutSo(cutEnds, isCut) }

// cutSo is like cut for a kind of cut.
func (n *mortalNetwork) cutSo(how cutKind, isCut func(address string) bool) {
	n.mu.Lock()
	n.isCut, n.how = isCut, how
	var conns []net.Conn
	for c, address := range n.closers {
		if conn, ok := c.(net.Conn); ok && isCut != nil && isCut(address) {
			conns = append(conns, conn)
		}
	}
	n.mu.Unlock()
	switch how {
	case cutEnds:
		closeAll(conns)
	case cutHangs:
		time.AfterFunc(cutUserTimeout, func() { closeAll(conns) })
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close() // the other end is out of reach
	}
}

// hangs reports whether connections to an address hang.
func (n *mortalNetwork) hangs(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.how == cutHangs && n.isCut != nil && n.isCut(address)
}

// refuses reports whether an address refuses new connections.
func (n *mortalNetwork) refuses(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.how == cutRefuses && n.isCut != nil && n.isCut(address)
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
		if n.refuses(address) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
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
		return &mortalConn{c, n, address}, n.check(c, address)
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
	return &mortalConn{c, l.network, l.address}, l.network.check(c, l.address)
}

// Close implements net.Listener.
func (l *mortalListener) Close() error {
	l.network.remove(l.Listener)
	return l.Listener.Close()
}

type mortalConn struct {
	net.Conn
	network *mortalNetwork
	address string
}

// Write implements net.Conn.
func (c *mortalConn) Write(p []byte) (int, error) {
	if c.network.hangs(c.address) {
		return len(p), nil // is not delivered
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *mortalConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.network.hangs(c.address) {
			return n, err
		}
		if err != nil {
			return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
		}
	}
}

// Close implements net.Conn.
func (c *mortalConn) Close() error {
	c.network.remove(c.Conn)
	return c.Conn.Close()
}
