package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a caller's departure that is seen only once all it sent is read, and
// against callers that stay but are taken for gone.
func TestPeerLeft(t *testing.T) {
	for _, tt := range []struct {
		name  string
		sent  string
		leave func(c *net.TCPConn) error
		left  bool
	}{
		{"stays", "", func(*net.TCPConn) error { return nil }, false},
		{"stays, unread bytes", "GET", func(*net.TCPConn) error { return nil }, false},
		{"closes", "", (*net.TCPConn).Close, true},
		{"closes, unread bytes", "GET", (*net.TCPConn).Close, true},
		{"ends its side", "GET", (*net.TCPConn).CloseWrite, true},
		{"resets", "GET", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			peer, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer peer.Close()
			c, err := ln.Accept()
			is.NoErr(err)
			defer c.Close()
			_, err = peer.Write([]byte(tt.sent))
			is.NoErr(err)
			reading := make(chan struct{})
			defer func() { <-reading }()
			defer c.Close()
			go func() {
				defer close(reading)
				if tt.sent == "" {
					_, _ = c.Read(make([]byte, 1)) // a read in progress must not hold the look up
				}
			}()
			is.NoErr(tt.leave(peer.(*net.TCPConn)))
			for end := time.Now().Add(5 * time.Second); tt.left && !peerLeft(c) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(peerLeft(c), tt.left)
		})
	}
}

// Guards against connections to sound servers that end while these are silent for a second or so. The kernel
// ends one when nothing came for the user timeout and a probe is unanswered, whatever the count of probes.
func TestConnectionsOutliveASilence(t *testing.T) {
	is := is.New(t)
	const silence = 1500 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := dial(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(name int) (v int) {
		is.NoErr(raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		is.NoErr(err)
		return v
	}
	idle, interval := time.Duration(option(unix.TCP_KEEPIDLE))*time.Second, time.Duration(option(unix.TCP_KEEPINTVL))*time.Second
	user := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	is.True(user >= idle+silence)                                               // the last answer came just before a probe was due
	is.True(time.Duration(option(unix.TCP_KEEPCNT))*interval >= silence)        // also where no user timeout is in force
	is.True(user <= 2*time.Second+silence && option(unix.TCP_USER_TIMEOUT) > 0) // and a dead peer is found
}
