package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Network carries HTTP requests to handlers in memory, so that a test can run many
// processes in one testing/synctest bubble. Every process has a name and any number
// of addresses. One direction between two processes can be blocked, and a process
// can be frozen: messages from and to it wait until it is thawed.
type Network struct {
	mu             sync.Mutex
	hosts          map[string]host // by address
	blocked        map[[2]string]bool
	frozen         map[string]chan struct{} // closed when the process is thawed
	calls          map[*netCall]bool
	freezeTriggers map[string]string // by process: path whose next call freezes it
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
		hosts: map[string]host{}, blocked: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, calls: map[*netCall]bool{}, freezeTriggers: map[string]string{},
	}
}

// Listen registers a handler for an address of a process.
func (n *Network) Listen(process, address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host{process, h}
}

// Kill terminates a process: its addresses refuse connections, and all calls from
// and to it fail.
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

// breakCalls cancels the calls that match. n.mu must be held.
func (n *Network) breakCalls(match func(c *netCall) bool) {
	for c := range n.calls {
		if match(c) {
			c.cancel()
		}
	}
}

// SetBlocked blocks or unblocks the direction from one process to another. Requests
// in a blocked direction hang until their deadline, and pending calls whose
// responses need it fail.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = blocked
	if blocked {
		n.breakCalls(func(c *netCall) bool { return c.from == to && c.to == from })
	}
}

// Freeze holds back all messages from and to a process until Thaw.
func (n *Network) Freeze(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[process] == nil {
		n.frozen[process] = make(chan struct{})
	}
}

// FreezeOnCall freezes a process at its next call of a path, when it has issued the
// call and before the call is delivered.
func (n *Network) FreezeOnCall(process, path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezeTriggers[process] = path
}

// triggerFreeze freezes a process if FreezeOnCall named this path.
func (n *Network) triggerFreeze(process, path string) {
	n.mu.Lock()
	hit := n.freezeTriggers[process] == path
	if hit {
		delete(n.freezeTriggers, process)
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

// Thaw ends a freeze and delivers the messages that were held back.
func (n *Network) Thaw(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[process]; ch != nil {
		close(ch)
		delete(n.frozen, process)
	}
}

// Client returns an HTTP client whose requests come from a process.
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
	fail := func(err error) (*http.Response, error) {
		cancel()
		return nil, err
	}
	t.n.triggerFreeze(t.from, req.URL.Path)
	if err := t.n.waitDelivery(ctx, t.from, "", req.URL.Host); err != nil {
		return fail(err)
	}
	h, ok := t.n.host(req.URL.Host)
	if !ok {
		return fail(&net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")})
	}
	call := t.n.addCall(t.from, h.process, cancel)
	resp, err := t.serve(ctx, req, h)
	if err != nil {
		t.n.removeCall(call)
		return fail(err)
	}
	resp.Body = &netBody{ReadCloser: resp.Body, onClose: func() { t.n.removeCall(call); cancel() }}
	return resp, nil
}

func (t *transport) serve(ctx context.Context, req *http.Request, h host) (*http.Response, error) {
	pr, pw := io.Pipe()
	w := &netResponse{header: http.Header{}, body: pw, ready: make(chan struct{})}
	sreq := req.Clone(ctx)
	sreq.RequestURI, sreq.RemoteAddr = req.URL.RequestURI(), t.from
	if sreq.Body == nil {
		sreq.Body = http.NoBody
	}
	go func() {
		if t.n.waitDelivery(ctx, "", h.process, "") == nil {
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
	if err := t.n.waitDelivery(ctx, h.process, t.from, ""); err != nil {
		pr.CloseWithError(err)
		return nil, err
	}
	if w.aborted {
		return nil, io.ErrUnexpectedEOF
	}
	stop := context.AfterFunc(ctx, func() { pr.CloseWithError(io.ErrUnexpectedEOF) })
	return &http.Response{
		Status: http.StatusText(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: &netBody{ReadCloser: pr, onClose: func() { stop() }}, ContentLength: -1, Request: req,
	}, nil
}

func (n *Network) host(address string) (host, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[address]
	return h, ok
}

func (n *Network) addCall(from, to string, cancel context.CancelFunc) *netCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &netCall{from, to, cancel}
	n.calls[c] = true
	return c
}

func (n *Network) removeCall(c *netCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, c)
}

// waitDelivery waits while the sender or the receiver is frozen. If the direction
// is blocked it waits until ctx ends and returns its error. An empty name is
// ignored; the receiver can be given by its address instead.
func (n *Network) waitDelivery(ctx context.Context, from, to, address string) error {
	for {
		n.mu.Lock()
		if address != "" {
			to = n.hosts[address].process
		}
		thawed := n.frozen[from]
		if thawed == nil {
			thawed = n.frozen[to]
		}
		blocked := n.blocked[[2]string{from, to}]
		n.mu.Unlock()
		switch {
		case blocked:
			<-ctx.Done()
			return ctx.Err()
		case thawed == nil:
			return ctx.Err()
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// netBody calls onClose once, at the first Close.
type netBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (b *netBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}

// netResponse is the server's side of a response.
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

// abort ends the response as a broken connection does.
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
