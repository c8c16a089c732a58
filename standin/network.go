package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Network carries HTTP between handlers in memory, so that a test can run many
// processes in one virtual-time bubble. Every process has a name and any
// number of addresses. A link between two processes can be cut in one
// direction, and a process can be frozen: whatever it sends or is sent waits
// until it is thawed.
type Network struct {
	mu     sync.Mutex
	hosts  map[string]host // by address
	cut    map[[2]string]bool
	frozen map[string]chan struct{} // closed when the process is thawed
	calls  map[*netCall]bool
	traps  map[string]string // process to the path whose next call freezes it
}

type host struct {
	process string
	handler http.Handler
}

type netCall struct {
	from, to string
	cancel   context.CancelFunc
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]host{}, cut: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, calls: map[*netCall]bool{}, traps: map[string]string{},
	}
}

// Listen serves an address of a process.
func (n *Network) Listen(process, address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host{process, h}
}

// Kill ends a process: its addresses refuse connections and all its calls in
// both directions break.
func (n *Network) Kill(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, h := range n.hosts {
		if h.process == process {
			delete(n.hosts, address)
		}
	}
	if ch := n.frozen[process]; ch != nil {
		close(ch)
		delete(n.frozen, process)
	}
	n.breakCalls(func(c *netCall) bool { return c.from == process || c.to == process })
}

func (n *Network) breakCalls(which func(c *netCall) bool) {
	for c := range n.calls {
		if which(c) {
			c.cancel()
		}
	}
}

// SetBlocked cuts or mends the direction from one process to another. Calls that
// need it hang until their deadline; answers on the way are lost.
func (n *Network) SetBlocked(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
	if cut {
		n.breakCalls(func(c *netCall) bool { return c.from == to && c.to == from })
	}
}

// Freeze pauses a process; Thaw lets it go on.
func (n *Network) Freeze(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[process] == nil {
		n.frozen[process] = make(chan struct{})
	}
}

// FreezeOnCall freezes a process at its next call of a path, after it decided
// on the call and before the call leaves.
func (n *Network) FreezeOnCall(process, path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.traps[process] = path
}

func (n *Network) spring(process, path string) {
	n.mu.Lock()
	hit := n.traps[process] == path
	if hit {
		delete(n.traps, process)
	}
	n.mu.Unlock()
	if hit {
		n.Freeze(process)
	}
}

// Frozen reports whether a process is frozen.
func (n *Network) Frozen(process string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[process] != nil
}

// Thaw ends a freeze.
func (n *Network) Thaw(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[process]; ch != nil {
		close(ch)
		delete(n.frozen, process)
	}
}

// Client returns an HTTP client for a process.
func (n *Network) Client(process string) *http.Client {
	return &http.Client{Transport: &transport{n, process}}
}

type transport struct {
	n    *Network
	from string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(req.Context())
	stop := func(err error) (*http.Response, error) {
		cancel()
		return nil, err
	}
	t.n.spring(t.from, req.URL.Path)
	if err := t.n.pass(ctx, t.from, "", req.URL.Host); err != nil {
		return stop(err)
	}
	h, ok := t.n.host(req.URL.Host)
	if !ok {
		return stop(&net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")})
	}
	call := t.n.enter(t.from, h.process, cancel)
	resp, err := t.serve(ctx, req, h)
	if err != nil {
		t.n.leave(call)
		return stop(err)
	}
	resp.Body = &netBody{ReadCloser: resp.Body, done: func() { t.n.leave(call); cancel() }}
	return resp, nil
}

func (t *transport) serve(ctx context.Context, req *http.Request, h host) (*http.Response, error) {
	pr, pw := io.Pipe()
	w := &netResponse{header: http.Header{}, body: pw, ready: make(chan struct{})}
	sreq := req.Clone(ctx)
	sreq.RequestURI = req.URL.RequestURI()
	if sreq.Body == nil {
		sreq.Body = http.NoBody
	}
	go func() {
		if t.n.pass(ctx, "", h.process, "") == nil {
			w.serve(h.handler, sreq)
		} else {
			w.abort()
		}
	}()
	select {
	case <-w.ready:
	case <-ctx.Done():
		pr.CloseWithError(ctx.Err())
		return nil, ctx.Err()
	}
	if err := t.n.pass(ctx, h.process, t.from, ""); err != nil {
		pr.CloseWithError(err)
		return nil, err
	}
	if w.aborted {
		return nil, io.ErrUnexpectedEOF
	}
	stop := context.AfterFunc(ctx, func() { pr.CloseWithError(io.ErrUnexpectedEOF) })
	return &http.Response{
		Status: http.StatusText(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: &netBody{ReadCloser: pr, done: func() { stop() }}, ContentLength: -1, Request: req,
	}, nil
}

func (n *Network) host(address string) (host, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[address]
	return h, ok
}

func (n *Network) enter(from, to string, cancel context.CancelFunc) *netCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &netCall{from, to, cancel}
	n.calls[c] = true
	return c
}

func (n *Network) leave(c *netCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, c)
}

// pass waits while either end is frozen, and for ever while the direction is
// cut, until ctx ends. An empty name is not looked at; an address may stand
// for the receiver.
func (n *Network) pass(ctx context.Context, from, to, address string) error {
	for {
		n.mu.Lock()
		if address != "" {
			to = n.hosts[address].process
		}
		wait := n.frozen[from]
		if wait == nil {
			wait = n.frozen[to]
		}
		cut := n.cut[[2]string{from, to}]
		n.mu.Unlock()
		switch {
		case cut:
			<-ctx.Done()
			return ctx.Err()
		case wait == nil:
			return ctx.Err()
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// netBody runs done once when it is closed.
type netBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *netBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}

// netResponse is the server's side of an answer.
type netResponse struct {
	header  http.Header
	status  int
	body    *io.PipeWriter
	once    sync.Once
	ready   chan struct{}
	aborted bool
}

func (w *netResponse) serve(h http.Handler, r *http.Request) {
	defer func() {
		if e := recover(); e != nil {
			if err, ok := e.(error); !ok || err != http.ErrAbortHandler {
				panic(e)
			}
			w.abort()
		}
	}()
	h.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	w.body.Close()
}

// abort breaks the connection.
func (w *netResponse) abort() {
	w.once.Do(func() {
		w.aborted = true
		close(w.ready)
	})
	w.body.CloseWithError(io.ErrUnexpectedEOF)
}

// Header implements http.ResponseWriter.
func (w *netResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *netResponse) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.header = w.header.Clone()
		close(w.ready)
	})
}

// Write implements http.ResponseWriter.
func (w *netResponse) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (w *netResponse) Flush() { w.WriteHeader(http.StatusOK) }
