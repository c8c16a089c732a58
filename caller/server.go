package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Server accepts callers' connections.
type Server struct {
	http   *http.Server
	asking atomic.Bool // responses ask callers to close their connections
}

// NewServer returns a server for callers with the handler and the limits of srv, which
// must not be used otherwise.
func NewServer(srv *http.Server) *Server {
	s := &Server{http: srv}
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&serverResponse{ResponseWriter: w, server: s}, r)
	})
	return s
}

// Serve accepts connections until the server stops. It may be called once.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// AskToClose makes every response whose header is not written yet ask its caller to close
// the connection.
func (s *Server) AskToClose() { s.asking.Store(true) }

// Shutdown stops as http.Server does.
func (s *Server) Shutdown(ctx context.Context) error {
	s.AskToClose()
	return s.http.Shutdown(ctx)
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
