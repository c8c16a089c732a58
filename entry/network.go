package entry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/peer"
)

const (
	// dialTimeout bounds connection setup; it is many round trips within a region.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: it closes a connection whose data is not
	// acknowledged, such as one to a VM without power. It also decides when unanswered keep-alive probes
	// do, counted from when something last came. So a peer that is silent for maxSilence must fit in after
	// an idle time that no probe has ended yet.
	userTimeout = keepAliveIdle + maxSilence + keepAliveInterval
	// maxSilence is how long a sound server may be silent.
	maxSilence = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive
	// settings. They detect idle connections whose peer is gone.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = int((maxSilence + keepAliveInterval - 1) / keepAliveInterval)
	// ioBufferBytes is the size of a connection's read and write buffers.
	ioBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, including all informational ones
	// before it.
	maxHeadBytes = 64 << 10
	// pingAfter and pingTimeout are the HTTP/2 ping settings. They detect a dead
	// connection between nodes before a lease expires.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// Network is what a daemon uses of its VM: listeners, connections and clocks. The zero value uses TCP
// and the kernel's clocks.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerLeft reports whether the other end of an accepted connection has closed it,
	// also while bytes that it sent before are unread.
	PeerLeft func(c net.Conn) bool
	// Clock is the clocks of the daemon's VM.
	Clock clock.Clock
}

// withDefaults returns n with TCP for unset functions.
func (n Network) withDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		n.Dial = dial
	}
	if n.PeerLeft == nil {
		n.PeerLeft = peerLeft
	}
	return n
}

// newTransport returns an HTTP transport that does not request compression.
func (n Network) newTransport(maxPerHost int, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: n.Dial, DisableCompression: true, MaxConnsPerHost: maxPerHost, MaxIdleConnsPerHost: max(maxPerHost, 16),
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes, ReadBufferSize: ioBufferBytes, WriteBufferSize: ioBufferBytes,
	}
}

// newPeerClient returns the HTTP client for calls to other nodes.
func (n Network) newPeerClient() *http.Client {
	c := peer.NewHTTPClient(nil)
	t := c.Transport.(*http.Transport)
	t.DialContext = n.Dial
	t.MaxResponseHeaderBytes = maxHeadBytes
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return c
}

// dial opens a TCP connection with the timeouts that detect a dead peer.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
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

// peerLeft reports whether the other end of a TCP connection has closed or reset it. It
// does not wait, and takes nothing from the connection.
func peerLeft(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	left := false
	// Control, other than Read, does not wait for a read in progress.
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&closed != 0
	})
	return err == nil && left
}
