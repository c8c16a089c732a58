package listen

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/memory"
)

// Streams that nobody reads keep the slots of an engine. The load: 126 streams that are not read, four
// at a time; a single one is given the whole time, all together no more than a third of it each.
func TestPatienceWithACrowdThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	p := patience{longest: 3 * time.Second}
	now := time.Unix(0, 0)
	is.Equal(p.limit(now), 3*time.Second)
	for range 32 {
		now = now.Add(p.limit(now))
		for range 4 {
			p.add(now)
		}
	}
	is.True(now.Sub(time.Unix(0, 0)) < 32*time.Second)
	is.Equal(p.limit(now), p.step())
	is.True(p.limit(now.Add(time.Minute)) > 29*time.Second/10) // it is as before a minute later
}

func listenTCP(t *testing.T, l Limits) (ln *Listener, dial func() net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ln = &Listener{Listener: tcp, Limits: l}
	t.Cleanup(func() { ln.Close() })
	return ln, func() net.Conn {
		c, err := net.Dial("tcp", tcp.Addr().String())
		is.New(t).NoErr(err)
		t.Cleanup(func() { c.Close() })
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // the kernel's choice does as well
		return c
	}
}

// A connection over the limit takes the process's last descriptors, or one that is refused stays without
// an answer.
func TestConnectionsOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	ln, dial := listenTCP(t, Limits{MaxConns: 1, Refusal: "no"})
	first := dial()
	accepted, err := ln.Accept()
	is.NoErr(err)
	_, _ = first.Write([]byte("x")) // reading it fails otherwise
	_, err = io.ReadFull(accepted, make([]byte, 1))
	is.NoErr(err)
	second := dial()
	done := make(chan net.Conn)
	go func() {
		c, _ := ln.Accept() // nil after the end of the test
		done <- c
	}()
	text, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(string(text), "no")
	accepted.Close()
	dial()
	c := <-done
	is.True(c != nil)
	is.Equal(ln.Conns(), 1)
}

// A write to a client that does not read must end and count in the budget; one to a slow client must not
// end.
func TestUnreadWritesEnd(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	ln, dial := listenTCP(t, Limits{Unread: time.Second, Memory: budget})
	silent := dial()
	c, err := ln.Accept()
	is.NoErr(err)
	_, err = c.Write(make([]byte, 8<<20))
	is.True(isTimeout(err))
	is.Equal(budget.Used(), int64(ConnBytes+SendBufferBytes))
	c.Close()
	is.Equal(budget.Used(), int64(0))
	silent.Close()

	slow := dial()
	c, err = ln.Accept()
	is.NoErr(err)
	go func() {
		for p := make([]byte, 4<<10); ; time.Sleep(2 * time.Millisecond) {
			if _, err := slow.Read(p); err != nil {
				return
			}
		}
	}()
	start := time.Now()
	_, err = c.Write(make([]byte, 256<<10))
	is.NoErr(err)
	t.Logf("a slow client was written to for %v", time.Since(start))
}

// pipeListener accepts ends of pipes.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) { return <-l, nil }
func (l pipeListener) Close() error              { return nil }
func (l pipeListener) Addr() net.Addr            { return nil }

// Connections that send nothing keep others out.
func TestSilentConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conns := make(pipeListener, 4)
		ended := 0
		ln := &Listener{Listener: conns, Limits: Limits{MaxConns: 1, OnEnd: func(string) { ended++ }}}
		open := func() net.Conn {
			client, server := net.Pipe()
			conns <- server
			return client
		}
		silent := open()
		_, err := ln.Accept()
		is.NoErr(err)
		time.Sleep(minSilence)
		open()
		_, err = ln.Accept()
		is.NoErr(err)
		_, err = silent.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.Equal(ln.Conns(), 1)
		is.Equal(ended, 1)
	})
}
