package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/transport"
)

// lookValidFor is how long the last look at the caller's connection is relied on. A request
// that takes longer from there to its first bytes had to wait for a connection, or for the
// processor.
const lookValidFor = 100 * time.Millisecond

var (
	errCallerLeft     = errors.New("the caller left before the request was sent")
	errServerLeft     = errors.New("the server is draining or gone")
	errAccountChanged = errors.New("the client account of the request is another one by now, or has lost its key")
)

// serverConn is a connection to a server. It does not send a request whose caller has left, nor a
// command whose time is over.
type serverConn struct {
	net.Conn
	lower net.Conn // below Conn
	// beforeRequest, if set, is called before the first bytes of the next request. They are not
	// sent if it returns an error. The HTTP transport uses a connection for one request at a time.
	beforeRequest func() error
	id            int64 // unique within the process
	since         time.Time
	unread        []byte // of the response that is awaited, read already

	mu       sync.Mutex
	command  *command // without a response yet; nil if there is none
	requests int      // that it has carried
	lastID   string   // ID of the last of them
	// awaited is nil once the response has begun to arrive, and if the connection has carried a
	// HEAD request: a copy of its response states the length of a body that does not follow.
	awaited     *awaited
	carriedHEAD bool
}

// begin prepares the connection for a request with the given method that awaits a response. It
// describes the connection as it was before.
func (c *serverConn) begin(method string, a *awaited) relay.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carriedHEAD = c.carriedHEAD || method == http.MethodHead
	if c.awaited = a; c.carriedHEAD {
		c.awaited = nil
	}
	before := relay.Connection{ID: c.id, Age: time.Since(c.since), Requests: c.requests, LastRequestID: c.lastID}
	c.requests++
	c.lastID = a.id
	return before
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	if before := c.beforeRequest; before != nil {
		c.beforeRequest = nil
		if err := before(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// lingerer is a connection whose end can discard what was not delivered, as [net.TCPConn].
type lingerer interface{ SetLinger(seconds int) error }

const (
	// discardUnsent makes the end of a connection, also that of the process, reset it. The kernel
	// then discards what the other end has not received, which it sends again otherwise.
	discardUnsent = 0
	// sendUnsent is the default: what was written is still sent after the end.
	sendUnsent = -1
)

func (c *serverConn) setLinger(seconds int) error {
	l, ok := c.lower.(lingerer)
	if !ok {
		return nil
	}
	if err := l.SetLinger(seconds); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// carry prepares the connection for a command, or for another request if it is nil.
func (c *serverConn) carry(cmd *command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.command
	c.command = cmd
	switch {
	case cmd != nil:
		return c.setLinger(discardUnsent)
	case last != nil:
		return c.setLinger(sendUnsent)
	}
	return nil
}

// end ends the connection's use by a command. The connection may carry another request by now.
func (c *serverConn) end(cmd *command, answered bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != cmd {
		return nil
	}
	if answered {
		c.command = nil
		return c.setLinger(sendUnsent)
	}
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// dial connects to a server.
func (c *poolTransports) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.network.Dial(ctx, network, address)
	if err != nil {
		if ctx.Err() == nil {
			c.reach.ObserveFailure(time.Now(), address)
		}
		return nil, err
	}
	return &serverConn{Conn: transport.NewConn(conn), lower: conn, id: c.lastConn.Add(1), since: time.Now()}, nil
}

// use is the use of a connection by a request.
type use struct {
	conn *serverConn // nil until the request has got one
	// unsent is set if the request was not sent, since its server had left meanwhile, or its client
	// account is not the same any more.
	unsent atomic.Bool
}

// withLook returns the request such that its connection looks once more, just before its
// first bytes, whether the caller or the server has left or the client account has changed, or,
// for a command, whether its time is over. looked is the time of the last look.
func (c *poolTransports) withLook(r *http.Request, looked time.Time) (*http.Request, *use) {
	ctx, u := r.Context(), &use{}
	return r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*serverConn)
		if !ok {
			return
		}
		u.conn = conn
		a := &awaited{id: r.Header.Get(platform.RequestIDHeader), onLate: func(resp *http.Response) { c.recordLate(r, conn, resp) }}
		relay.RecordConnection(ctx, conn.begin(r.Method, a))
		if cmd := commandOf(ctx); cmd != nil {
			cmd.take(conn)
			conn.beforeRequest = cmd.beforeRequest
			return
		}
		lingerErr := conn.carry(nil)
		conn.beforeRequest = func() error {
			if time.Since(looked) <= lookValidFor {
				return lingerErr
			}
			if c.callerLeft != nil && c.callerLeft(ctx) {
				return errCallerLeft
			}
			if c.usable != nil && !c.usable(r.URL.Host) {
				u.unsent.Store(true)
				return errServerLeft
			}
			if !relay.KeepsAccount(ctx) {
				u.unsent.Store(true)
				return errAccountChanged
			}
			return lingerErr
		}
	}})), u
}

// recordLate records a response to another request that came on the connection of r.
func (c *poolTransports) recordLate(r *http.Request, conn *serverConn, resp *http.Response) {
	if c.onLate != nil {
		c.onLate(r, conn.id, resp)
	}
}

// closeUnlessAnswer closes the connection of a request if a response is not to it. What comes on
// the connection after that is not known.
func (u *use) closeUnlessAnswer(r *http.Request, resp *http.Response) {
	id := r.Header.Get(platform.RequestIDHeader)
	if platform.IsLateResponse(resp.Header, id) || id != "" && resp.Header.Get(platform.RequestIDHeader) == "" {
		u.close()
	}
}

// close closes the connection of a request.
func (u *use) close() {
	if u.conn != nil {
		_ = u.conn.Close() // fails only if it is closed already
	}
}
