package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
)

// leftConn is a connection on which a caller sent a request and which it closes at a time.
// The node reads its end only long after, as on a VM that is busy.
type leftConn struct {
	net.Conn
	sent io.Reader
	left time.Time
}

const endReadDelay = 2 * time.Second

func (c *leftConn) Read(p []byte) (int, error) {
	n, err := c.sent.Read(p)
	if err != nil {
		time.Sleep(time.Until(c.left.Add(endReadDelay)))
	}
	return n, err
}

func isLeft(c net.Conn) bool {
	lc, ok := c.(*leftConn)
	return ok && !time.Now().Before(lc.left)
}

func (f *daemonFixture) newRequest(ctx context.Context, is *is.I, path, id string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:1"+path, bytes.NewReader([]byte("body")))
	is.NoErr(err)
	r.Host = "assist.example"
	platform.EncodeRequestHead(r.Header, relay.RequestHead{ID: id, Timeout: 5 * time.Second, Model: "base-7b", Adapter: "a1", PromptTokens: 10, MaxTokens: 3})
	return r
}

// leaveUnseen sends a request that the node reads after a time. Its caller has left or
// leaves at the given time, and the node reads the end of the connection late.
func (f *daemonFixture) leaveUnseen(is *is.I, path, id string, readAfter time.Duration, left time.Time) {
	var sent bytes.Buffer
	is.NoErr(f.newRequest(context.Background(), is, path, id).Write(&sent))
	callerEnd, nodeEnd := net.Pipe()
	is.NoErr(callerEnd.Close())
	time.Sleep(readAfter)
	is.NoErr(f.network.Deliver("10.0.0.1:1", &leftConn{Conn: nodeEnd, sent: &sent, left: left}))
}

// leaveAfter sends a request whose caller leaves after a time.
func (f *daemonFixture) leaveAfter(is *is.I, path, id string, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	resp, err := f.client.Do(f.newRequest(ctx, is, path, id))
	if err == nil {
		<-ctx.Done()
		resp.Body.Close()
	}
}

// Guards against requests that reach a server over half a second after their callers have
// left: read late by a busy VM, held by a first packet that is sent again, or by a grant
// that comes late from another VM. Callers that stay are served all the while.
func TestRequestsOfCallersThatLeaveAreNotSent(t *testing.T) {
	const (
		callers  = 5
		staysFor = 300 * time.Millisecond // of callers that leave after the node has read their request
		held     = time.Second
		allowed  = 500 * time.Millisecond // from the caller's leaving until its request reaches a server
		idle     = 10 * time.Second       // ends the connections to servers
	)
	slowDials := func(f *daemonFixture) { f.setDialDelay(held) }
	lateGrants := func(f *daemonFixture) {
		acquire := f.daemon.relayHandler.Acquire
		f.daemon.relayHandler.Acquire = func(ctx context.Context, names []string, w engine.Work) (caller.Grant, error) {
			time.Sleep(held)
			return acquire(context.WithoutCancel(ctx), names, w)
		}
	}
	noDelay := func(*daemonFixture) {}
	for _, tt := range []struct {
		name, path string
		prepare    func(f *daemonFixture)
		stays      time.Duration
		readAfter  time.Duration
		busy       bool // the node reads the end of a connection late
	}{
		{"read late", "/status/x", noDelay, 0, held, true},
		{"read late", "/orders/x", noDelay, 0, held, true},
		{"read late", "/chat/x", noDelay, 0, held, true},
		{"first packet sent again", "/status/x", slowDials, staysFor, 0, false},
		{"first packet sent again", "/orders/x", slowDials, staysFor, 0, false},
		{"first packet sent again", "/chat/x", slowDials, staysFor, 0, false},
		{"first packet sent again, busy", "/status/x", slowDials, staysFor, 0, true},
		{"first packet sent again, busy", "/orders/x", slowDials, staysFor, 0, true},
		{"first packet sent again, busy", "/chat/x", slowDials, staysFor, 0, true},
		{"late grant", "/chat/x", lateGrants, staysFor, 0, false},
		{"late grant, busy", "/chat/x", lateGrants, staysFor, 0, true},
	} {
		t.Run(tt.name+" "+tt.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDaemonFixture(is)
				defer f.close()
				time.Sleep(idle)
				is.Equal(f.send(is, tt.path, "first", "a1"), http.StatusOK)
				time.Sleep(idle)
				tt.prepare(f)
				left := time.Now().Add(tt.stays)
				for i := range callers {
					id := fmt.Sprintf("left-%d", i)
					if tt.busy {
						go f.leaveUnseen(is, tt.path, id, tt.readAfter, left)
					} else {
						go f.leaveAfter(is, tt.path, id, tt.stays)
					}
				}
				is.Equal(f.send(is, tt.path, "stays", "a1"), http.StatusOK)
				time.Sleep(5 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.True(!f.arrivals["stays"].IsZero())
				late := 0
				for i := range callers {
					id := fmt.Sprintf("left-%d", i)
					is.True(strings.Contains(f.log.String(), "id="+id)) // the node has read it
					if f.arrivals[id].After(left.Add(allowed)) {
						late++
					}
				}
				is.Equal(late, 0)
			})
		})
	}
}
