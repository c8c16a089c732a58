package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/route"
)

// earlyConn is a connection to a server that answers at once, before it has read the request, and then ends.
type earlyConn struct {
	net.Conn
	response *strings.Reader
	left     int  // bytes of the request that are taken before the reset
	keepOpen bool // there is no reset, and no end
	begun    chan struct{}
	once     sync.Once
	reset    chan struct{} // closed when a write has learned of it
	ended    chan struct{} // closed when a read has seen the end
	isEnded  sync.Once
	closed   chan struct{}
	isClosed sync.Once
}

func newEarlyConn(response string) *earlyConn {
	near, _ := net.Pipe()
	return &earlyConn{Conn: near, response: strings.NewReader(response), begun: make(chan struct{}), reset: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{})}
}

// Write implements net.Conn. The write that crosses the reset learns of it.
func (c *earlyConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.begun) })
	if c.left -= len(p); c.keepOpen || c.left >= 0 {
		return len(p), nil
	}
	close(c.reset)
	<-c.ended                        // for the read, which sees an ordinary end
	time.Sleep(5 * time.Millisecond) // the goroutine was not scheduled at once
	return 0, &net.OpError{Op: "write", Err: io.ErrClosedPipe}
}

// Read implements net.Conn.
func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.response.Len() == 0 && c.keepOpen {
		<-c.closed // kept open
		return 0, net.ErrClosed
	}
	n, err := c.response.Read(p)
	if err != nil {
		<-c.reset
		c.isEnded.Do(func() { close(c.ended) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *earlyConn) Close() error {
	c.isClosed.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// postTo sends a request on a connection, and returns the body of its response.
func postTo(c *earlyConn, body string) ([]byte, error) {
	transports := &poolTransports{
		nodeCount: func() int { return 1 },
		network:   Network{Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }},
	}
	r, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:1/", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(platform.RequestIDHeader, "r1")
	resp, err := transports.forPool(route.Pool{Name: "p"}).RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(bufio.NewReader(resp.Body))
}

// Guards against a part of an answer that callers get as a whole one: a server answered a long upload at once, without a
// length, and reset the connection while the upload was still being written.
func TestAnswerToAnUploadThatIsResetIsBrokenOff(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\n" + platform.RequestIDHeader + ": r1\r\n\r\n"
	c := newEarlyConn(head + "part")
	c.left = 8 << 10
	_, err := postTo(c, strings.Repeat("x", 1<<20))
	is.True(err != nil)
}
