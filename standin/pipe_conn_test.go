package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
)

// dialPipe returns both ends of a connection.
func dialPipe(is *is.I, n *PipeNetwork) (client, server net.Conn) {
	is.Helper()
	ln, err := n.Listen("s:80")
	is.NoErr(err)
	accepted := make(chan net.Conn)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			accepted <- conn
		}
		close(accepted)
	}()
	client, err = n.Dial(context.Background(), "tcp", "s:80")
	is.NoErr(err)
	return client, <-accepted
}

// Guards against tests in which a closed connection takes back what was written to it.
func TestDelayedBytesArriveAfterClose(t *testing.T) {
	for _, tt := range []struct {
		name  string
		close func(is *is.I, conn net.Conn)
		want  string
		after time.Duration // until the other end has all
	}{
		{"closed in an orderly way", func(is *is.I, conn net.Conn) { is.NoErr(conn.Close()) }, "onetwo", 700 * time.Millisecond},
		{"reset", func(is *is.I, conn net.Conn) {
			is.NoErr(conn.(interface{ SetLinger(sec int) error }).SetLinger(0))
			is.NoErr(conn.Close())
		}, "", 200 * time.Millisecond},
		{"reset between", func(is *is.I, conn net.Conn) {
			is.NoErr(conn.(interface{ SetLinger(sec int) error }).SetLinger(0))
			time.Sleep(400 * time.Millisecond)
			is.NoErr(conn.Close())
		}, "one", 600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Second) // lets the delivery of what was discarded end
				n := &PipeNetwork{}
				client, server := dialPipe(is, n)
				start := time.Now()
				n.SetDelay("", "s:80", func() time.Duration { return 500 * time.Millisecond })
				for _, text := range []string{"one", "two"} {
					_, err := io.WriteString(client, text)
					is.NoErr(err)
					time.Sleep(100 * time.Millisecond)
					n.SetDelay("", "s:80", func() time.Duration { return 600 * time.Millisecond })
				}
				n.SetDelay("", "s:80", nil)
				readEnded := make(chan error)
				go func() {
					_, err := client.Read(make([]byte, 1))
					readEnded <- err
				}()
				go tt.close(is, client)
				got, err := io.ReadAll(server)
				is.NoErr(err)
				is.Equal(string(got), tt.want)
				is.Equal(time.Since(start), tt.after)
				is.True(<-readEnded != nil)
				_, err = client.Write([]byte("late"))
				is.True(err != nil)
			})
		})
	}
}

// Guards against tests in which no command arrives after its sender has given it up.
func TestCommandsArriveAfterTheirSendersGaveThemUp(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(n *PipeNetwork, r *Replica)
		want  int // of commands that arrive
	}{
		{"a slow link", func(n *PipeNetwork, _ *Replica) { n.SetDelay("", "s:80", func() time.Duration { return time.Second }) }, 1},
		{"a slow replica", func(_ *PipeNetwork, r *Replica) {
			r.SetFault(ReplicaFault{HoldCommand: func() time.Duration { return time.Second }})
		}, 1},
		{"a slow replica that restarts", func(_ *PipeNetwork, r *Replica) {
			r.SetFault(ReplicaFault{HoldCommand: func() time.Duration { return time.Second }})
			time.AfterFunc(500*time.Millisecond, r.Restart)
		}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, r := &PipeNetwork{}, testReplica()
				ln, err := n.Listen("s:80")
				is.NoErr(err)
				srv := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
				defer srv.Close()
				go func() { _ = srv.Serve(ln) }() // ends with Close
				tt.fault(n, r)
				client := &platform.ReplicaClient{Node: "n1", HTTP: &http.Client{Transport: &http.Transport{DialContext: n.Dial}}}
				defer client.HTTP.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				start := time.Now()
				self := r.Self
				self.Address = "s:80"
				_, err = client.SendCommand(ctx, self, engine.Command{Load: true, Model: "m", Adapter: "a1", FencingToken: 1})
				is.True(err != nil && strings.Contains(err.Error(), context.DeadlineExceeded.Error()))
				is.Equal(time.Since(start), 300*time.Millisecond)
				is.Equal(len(r.Record().Commands), 0)
				time.Sleep(time.Second)
				commands := r.Record().Commands
				is.Equal(len(commands), tt.want)
				is.Equal(commands[0].At.Sub(start), time.Second)
			})
		})
	}
}
