package standin

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/juju/errors"
)

// PipeNetwork is a network of connections in memory, for programs that listen and dial.
// Unlike [Network] it carries bytes. The zero value has no listener.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*wireListener
	last      int // port that was given out
}

type wireListener struct {
	w       *PipeNetwork
	address wireAddress
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type wireAddress string

// Network implements net.Addr.
func (wireAddress) Network() string { return "wire" }

// String implements net.Addr.
func (a wireAddress) String() string { return string(a) }

// Listen listens at an address. Port 0 stands for a free one.
func (w *PipeNetwork) Listen(address string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		w.last++
		address = fmt.Sprintf("%s:%d", host, w.last)
	}
	if w.listeners == nil {
		w.listeners = make(map[string]*wireListener)
	}
	if w.listeners[address] != nil {
		return nil, errors.AlreadyExistsf("listener at %s", address)
	}
	l := &wireListener{w: w, address: wireAddress(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l, nil
}

// Dial connects to a listener.
func (w *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[address]
	w.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "wire", Addr: wireAddress(address), Err: errors.New("connection refused")}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- wireConn{far, l.address}:
		return wireConn{near, l.address}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "wire", Addr: l.address, Err: errors.New("connection reset")}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *wireListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *wireListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		delete(l.w.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *wireListener) Addr() net.Addr { return l.address }

// wireConn is one end of a connection.
type wireConn struct {
	net.Conn
	address wireAddress
}

// LocalAddr implements net.Conn.
func (c wireConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn.
func (c wireConn) RemoteAddr() net.Addr { return c.address }
