package demo

import (
	"net"
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/entry"
)

const headerTimeout = 10 * time.Second

// freePort is a loopback address with a port that the system assigns.
const freePort = "127.0.0.1:0"

// listeners holds the HTTP servers of the demo. With a zero network they listen on
// loopback ports.
type listeners struct {
	network entry.Network
	servers []*http.Server
}

func (l *listeners) listen(address string) (net.Listener, error) {
	if l.network.Listen != nil {
		return l.network.Listen(address)
	}
	return net.Listen("tcp", address)
}

// serve runs a handler on a free port and returns its address.
func (l *listeners) serve(h http.Handler) (string, error) {
	ln, err := l.listen(freePort)
	if err != nil {
		return "", err
	}
	l.runServer(ln, &http.Server{Handler: h})
	return ln.Addr().String(), nil
}

func (l *listeners) runServer(ln net.Listener, srv *http.Server) {
	srv.ReadHeaderTimeout = headerTimeout
	l.servers = append(l.servers, srv)
	go func() { _ = srv.Serve(ln) }() // ends with Close
}

func (l *listeners) closeListeners() {
	for _, s := range l.servers {
		_ = s.Close() // the servers keep no state
	}
}
