package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lastLook is how long a stopping server still waits for requests on connections that
	// have none: a request that was sent before is read by then.
	lastLook = 100 * time.Millisecond
	// endMargin is how long responses may take that are written when the time to stop is over.
	endMargin = 200 * time.Millisecond
)

// Server accepts callers' connections. Unlike http.Server, it stops without closing a
// connection on which it has read a part of a request that it does not answer.
type Server struct {
	// HeadLimits, which is optional, returns the limits on the heads of requests. Set it before Serve.
	HeadLimits func() HeadLimits

	http     *http.Server
	asking   atomic.Bool // responses ask callers to close their connections
	stopping atomic.Bool

	mu       sync.Mutex
	serving  int
	listener net.Listener
	conns    map[*serverConn]struct{}
	done     chan struct{} // closed when a stopping server has no connection left
}

// NewServer returns a server for callers with the handler and the limits of srv, which
// must not be used otherwise.
func NewServer(srv *http.Server) *Server {
	s := &Server{http: srv, conns: make(map[*serverConn]struct{}), done: make(chan struct{})}
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&serverResponse{ResponseWriter: w, server: s}, r)
	})
	if connContext := srv.ConnContext; connContext != nil {
		srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return connContext(ctx, c.(*serverConn).Conn)
		}
	}
	srv.ConnState = s.observeState
	return s
}

// Serve accepts connections until the server stops. It may be called once.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		ln.Close()
		return http.ErrServerClosed
	}
	s.listener = ln
	s.serving++
	s.mu.Unlock()
	err := s.http.Serve(serverListener{ln, s})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	s.checkDone()
	return err
}

// AskToClose makes every response whose header is not written yet ask its caller to close
// the connection.
func (s *Server) AskToClose() { s.asking.Store(true) }

// Shutdown accepts and reads what has arrived, closes the connections that are idle, and
// waits for the requests that have begun to arrive or are served. When ctx ends it refuses
// heads that are incomplete. If requests are then still served, it aborts them and
// returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.AskToClose()
	s.mu.Lock()
	s.stopping.Store(true)
	s.stopAccepting()
	s.checkDone()
	s.mu.Unlock()
	s.eachConn(func(c *serverConn) { c.closeUnused(time.Now().Add(lastLook)) })
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
	}
	s.eachConn(func(c *serverConn) { c.endHead() })
	select {
	case <-s.done:
		return nil
	case <-time.After(endMargin):
	}
	_ = s.http.Close() // the listener is closed already
	return ctx.Err()
}

// stopAccepting accepts what has connected, and closes the listener. s.mu must be held.
func (s *Server) stopAccepting() {
	if ln, ok := s.listener.(interface{ SetDeadline(t time.Time) error }); ok && ln.SetDeadline(time.Now().Add(lastLook)) == nil {
		return // Accept then fails, and Serve closes the listener
	}
	if s.listener != nil {
		s.listener.Close()
	}
}

func (s *Server) headLimits() HeadLimits {
	if s.HeadLimits == nil {
		return HeadLimits{}
	}
	return s.HeadLimits()
}

func (s *Server) eachConn(f func(c *serverConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}

// checkDone closes s.done if nothing is left to wait for. s.mu must be held.
func (s *Server) checkDone() {
	if !s.stopping.Load() || s.serving > 0 || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

func (s *Server) observeState(conn net.Conn, state http.ConnState) {
	c := conn.(*serverConn)
	c.observeState(state)
	if state == http.StateClosed {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.checkDone()
	}
}

// serverListener registers the connections that it accepts.
type serverListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Once the last look is over, it fails for good.
func (l serverListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		if l.server.stopping.Load() {
			return nil, net.ErrClosed // net/http would try again after a timeout
		}
		return nil, err
	}
	c := &serverConn{Conn: conn, server: l.server}
	c.mu.Lock()
	c.await()
	_ = c.applyDeadline() // the first read fails if this does
	c.mu.Unlock()
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	if l.server.stopping.Load() {
		c.closeUnused(time.Now().Add(lastLook))
	}
	return c, nil
}

// serverResponse asks the caller to close its connection, up to the moment at which the
// header is written.
type serverResponse struct {
	http.ResponseWriter
	server        *Server
	headerWritten bool
}

// Unwrap is for http.ResponseController.
func (w *serverResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *serverResponse) WriteHeader(status int) {
	if !w.headerWritten && w.server.asking.Load() {
		w.Header().Set("Connection", "close")
	}
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *serverResponse) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
