package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resetConn is a connection that the other end resets while a request is being written: its write learns of the reset,
// and its read sees an ordinary end, before or after that.
type resetConn struct {
	net.Conn
	response  *strings.Reader
	writing   chan struct{} // closed when the write that fails has begun
	isWritten chan struct{} // closed when it has ended
	readFirst bool          // the read ends before the write does
	writes    int
}

func newResetConn(response string, readFirst bool) *resetConn {
	inner, _ := net.Pipe()
	return &resetConn{Conn: inner, response: strings.NewReader(response), writing: make(chan struct{}), isWritten: make(chan struct{}), readFirst: readFirst}
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes < 3 {
		return len(p), nil
	}
	if c.writes > 3 {
		return 0, net.ErrClosed
	}
	close(c.writing)
	defer close(c.isWritten)
	if c.readFirst {
		time.Sleep(20 * time.Millisecond) // the goroutine was not scheduled after its call had ended
	}
	return 0, &net.OpError{Op: "write", Err: io.ErrClosedPipe}
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.writing
	if c.response.Len() == 0 && !c.readFirst {
		<-c.isWritten
	}
	return c.response.Read(p)
}

// Guards against a part of an answer that looks whole: it came while the request was still being written, its end shows
// only by that of the connection, and the reset was seen by the write.
func TestResetThatAWriteSeesBreaksTheBodyOff(t *testing.T) {
	for _, readFirst := range []bool{false, true} {
		c := NewConn(newResetConn("part of the body", readFirst))
		go func() {
			for range 3 {
				_, _ = c.Write([]byte("part of the upload")) // the last one fails
			}
		}()
		b, err := io.ReadAll(c)
		is := is.New(t)
		is.Equal(string(b), "part of the body")
		is.True(IsKind(err, Broken))
	}
}

// Guards against an answer that is failed although it ended in an orderly way, and the server reads the rest of the
// request later or not at all.
func TestOrderlyEndBesideAWriteIsWhole(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	c := NewConn(&halfClosed{Conn: near, response: strings.NewReader("whole body")})
	go func() { _, _ = c.Write(make([]byte, 1<<20)) }() // nobody reads it
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "whole body")
	is.NoErr(far.Close())
}

// halfClosed is a connection whose other end has sent a response and an orderly end.
type halfClosed struct {
	net.Conn
	response *strings.Reader
}

// Read implements net.Conn.
func (c *halfClosed) Read(p []byte) (int, error) { return c.response.Read(p) }
