package entry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/peer"
)

const (
	// dialTimeout bounds a new connection: many round trips within a region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, such as
	// one to a VM without power.
	userTimeout = 1500 * time.Millisecond
	// probeIdle and probeEvery find idle connections whose other end is gone.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// ioBuffer is the size of a connection's buffers.
	ioBuffer = 4 << 10
	// pingAfter and pingTimeout find a connection between nodes that has gone
	// silent, within the time in which a lease ends.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// Network is how a daemon reaches others and is reached. The zero value is TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// withDefaults fills in TCP.
func (n Network) withDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		n.Dial = dial
	}
	return n
}

// transport returns connections of which no request is compressed.
func (n Network) transport(perHost int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: n.Dial, DisableCompression: true, MaxConnsPerHost: perHost, MaxIdleConnsPerHost: max(perHost, 16),
		IdleConnTimeout: idle, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer,
	}
}

// peerClient returns the client for other nodes.
func (n Network) peerClient() *http.Client {
	c := peer.NewHTTPClient(nil)
	t := c.Transport.(*http.Transport)
	t.DialContext = n.Dial
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return c
}

// dial opens a connection that notices a silent peer.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
	return d.DialContext(ctx, network, address)
}
