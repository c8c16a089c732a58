package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/settings"
)

// receivedCommands returns how many commands with a token the engine has received.
func (f *daemonFixture) receivedCommands(token int64) (n int) {
	for _, c := range f.engine.Record().Commands {
		if c.FencingToken == token {
			n++
		}
	}
	return n
}

// Guards against a command that is sent after its lease has ended, since it waited for its connection.
func TestCommandIsNotSentAfterItsLease(t *testing.T) {
	const token = 99 // unlike those of the daemon's own commands
	for _, tt := range []struct {
		name      string
		leaseLeft time.Duration
		dial      time.Duration
		sent      int
		notSent   bool
	}{
		{name: "lease ends first", leaseLeft: 150 * time.Millisecond, dial: 200 * time.Millisecond, sent: 0, notSent: true},
		{name: "connection comes first", leaseLeft: 250 * time.Millisecond, dial: 200 * time.Millisecond, sent: 1},
		{name: "connection comes after the call", leaseLeft: time.Hour, dial: commandTimeout + 50*time.Millisecond, sent: 0, notSent: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDaemonFixture(is)
				defer f.close()
				time.Sleep(10 * time.Second)
				f.daemon.transports.closeIdle()
				f.setDialDelay(tt.dial)
				leaseEnd := time.Now().Add(tt.leaseLeft)
				ctx := engine.WithSendCheck(t.Context(), func() bool { return time.Now().Before(leaseEnd) })
				send := f.daemon.sequencer(settings.BackendServer{Name: f.engine.Self.ID}).Send
				_, err := send(ctx, engine.Command{Load: true, Model: "base-7b", Adapter: "a1", ExpectedSequence: -1, FencingToken: token})
				is.Equal(engine.IsKind(err, engine.NotSent), tt.notSent)
				time.Sleep(2 * time.Second)
				is.Equal(f.receivedCommands(token), tt.sent)
				is.Equal(f.logCount("token=99"), 1)
			})
		})
	}
}

// smallWindow makes a listener's connections accept few bytes that are not read.
var smallWindow = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); cerr != nil {
		return cerr
	}
	return err
}}

// stalledServer is a server on the loopback that reads nothing until it is told to.
type stalledServer struct {
	net.Listener
	transports *poolTransports
	conns      chan *net.TCPConn // of the client
}

func newStalledServer(t *testing.T, is *is.I) *stalledServer {
	ln, err := smallWindow.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(ln.Close()) })
	s := &stalledServer{Listener: ln, conns: make(chan *net.TCPConn, 1)}
	s.transports = &poolTransports{nodeCount: func() int { return 1 }, network: Network{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s.conns <- c.(*net.TCPConn)
		return c, c.(*net.TCPConn).SetWriteBuffer(256 << 10) // takes the whole request
	}}}
	return s
}

// post sends a request that the kernel accepts and the server has no room for.
func (s *stalledServer) post(ctx context.Context, bytes int) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr().String(), strings.NewReader(strings.Repeat("x", bytes)))
	if err != nil {
		return nil, err
	}
	return s.transports.forPool(route.Pool{Name: "p", MaxConns: 8}).RoundTrip(r)
}

// Guards against a command that arrives long after its call has ended: the kernel sends again what
// the engine had no room for.
func TestUndeliveredCommandIsDiscarded(t *testing.T) {
	const (
		bodyBytes = 100 << 10
		timeout   = 200 * time.Millisecond
		readTime  = 5 * time.Second
	)
	for _, tt := range []struct {
		name      string
		isCommand bool
		killed    bool // the process ends during the call, so the kernel closes the connection
	}{
		{"orderly close", false, false},
		{"command timed out", true, false},
		{"process was killed", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newStalledServer(t, is)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			end := func(err error) error { return err }
			if tt.isCommand {
				var cmd *command
				cmd, ctx = newCommand(ctx, "e")
				end = cmd.end
			}
			closed := make(chan error, 1)
			if tt.killed {
				time.AfterFunc(timeout/2, func() { closed <- (<-s.conns).Close() })
			} else {
				closed <- nil
			}
			_, err := s.post(ctx, bodyBytes)
			is.NoErr(<-closed)
			is.True(err != nil)
			is.True(!engine.IsKind(end(err), engine.NotSent)) // it may arrive
			conn, err := s.Accept()
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(readTime)))
			got, err := io.Copy(io.Discard, conn)
			t.Log("bytes that arrived after the end of the call:", got, err)
			is.Equal(got > bodyBytes, !tt.isCommand)
			is.Equal(err != nil, tt.isCommand)
		})
	}
}

// Guards against connections that servers see reset although the last command on them was answered.
func TestConnectionOfAnsweredCommandEndsOrderly(t *testing.T) {
	is := is.New(t)
	s := newStalledServer(t, is)
	served := make(chan error, 1)
	go func() {
		conn, err := s.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		buf := make([]byte, 4<<10)
		if _, err = conn.Read(buf); err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if err == nil {
			_, err = io.Copy(io.Discard, conn)
		}
		served <- err
	}()
	cmd, ctx := newCommand(t.Context(), "e")
	resp, err := s.post(ctx, 10)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.NoErr(cmd.end(nil))
	for _, p := range s.transports.pools {
		p.transport.CloseIdleConnections()
	}
	is.NoErr(<-served)
}
