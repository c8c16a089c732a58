package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	slowLink      = 10 << 20 / 8 // bytes a second, of the smallest VMs
	manyRoutes    = 1400
	stormInterval = 330 * time.Millisecond
	inForceAfter  = 2 * time.Second // from the confirmation of a version, at a node in touch
)

// storeLink is the link on which a daemon receives from the store.
type storeLink struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	rate int       // bytes a second
	free time.Time // when what has been sent has arrived
}

func (l *storeLink) setRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = bytesPerSecond
}

// arrival returns when bytes that are sent now have arrived.
func (l *storeLink) arrival(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	return l.free
}

func (l *storeLink) connect(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := l.dial(ctx, network, address)
	if err != nil || address != "store:1" {
		return c, err
	}
	return &linkConn{c, l}, nil
}

type linkConn struct {
	net.Conn
	link *storeLink
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(time.Until(c.link.arrival(n)))
	return n, err
}

// configurationStorm writes one large configuration after the other. Each version has a route of its own.
type configurationStorm struct {
	f       *daemonFixture
	version int
	written []time.Time // of each version
	sent    int
}

func (s *configurationStorm) put() {
	var routes bytes.Buffer
	for i := range manyRoutes {
		fmt.Fprintf(&routes, `{"name": "r%d", "host": "h%d.example", "prefix": "/r%d/", "type": "idempotent", "timeout_ms": 3000, "target_latency_ms": 150, "priority": 2, "service": "ledger", "max_attempts": 2},`, i, i%40, i)
	}
	s.version++
	s.written = append(s.written, time.Now())
	v := strconv.Itoa(s.version)
	fmt.Fprintf(&routes, `{"name": "own", "host": "assist.example", "prefix": "/%s/", "type": "idempotent", "timeout_ms": 3000, "service": "ledger", "max_attempts": 2},`, v)
	config := bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(`"version": `+v), 1)
	s.f.store.Put(platform.ConfigRowKey, bytes.Replace(config, []byte(`"routes": [`), append([]byte(`"routes": [`), routes.Bytes()...), 1))
}

// replaced returns the latest version that was replaced longer than inForceAfter ago.
func (s *configurationStorm) replaced() int {
	for i := len(s.written) - 1; i > 0; i-- {
		if time.Since(s.written[i]) > inForceAfter {
			return s.version - len(s.written) + i
		}
	}
	return 0
}

// play writes versions for a time and sends requests on the routes that are no longer in force, in turn. It
// returns how many of them were run, and how many were answered for good.
func (s *configurationStorm) play(is *is.I, d time.Duration) (stale, final int) {
	for end, next := time.Now().Add(d), time.Now(); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !time.Now().Before(next) {
			s.put()
			next = next.Add(stormInterval)
		}
		if s.replaced() < 2 {
			continue
		}
		s.sent++
		version := s.replaced() - s.sent%(s.replaced()-1)
		switch s.f.send(is, "/"+strconv.Itoa(version)+"/x", "s"+strconv.Itoa(s.sent), "") {
		case http.StatusOK:
			stale++
		case http.StatusNotFound:
			final++
		}
	}
	return stale, final
}

func playStorm(t *testing.T, play func(is *is.I, f *daemonFixture, l *storeLink, s *configurationStorm)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, l := &daemonFixture{}, &storeLink{rate: slowLink}
		f.path, l.dial = l.connect, f.network.Dial
		f.start(is)
		defer f.close()
		time.Sleep(10 * time.Second)
		play(is, f, l, &configurationStorm{f: f, version: 1, written: []time.Time{time.Now()}})
	})
}

// Guards against a node that never catches up, since the changes that it has missed take longer than a
// call may, and more of them come meanwhile.
func TestMissedConfigurationsDoNotOutgrowACall(t *testing.T) {
	playStorm(t, func(is *is.I, f *daemonFixture, _ *storeLink, s *configurationStorm) {
		s.play(is, 3*time.Second)
		f.store.SetFault(standin.TableFault{Down: true})
		s.play(is, 2*time.Second)
		f.store.SetFault(standin.TableFault{})
		s.play(is, defaultCatchUpPeriod)
		stale, final := s.play(is, 5*time.Second)
		is.Equal(stale, 0)
		is.True(final > 200) // of at most 500: the node is up to date
	})
}

// Guards against requests that a node runs by a configuration that it knows to be replaced, since its
// link takes longer for a configuration than that may take to be in force.
func TestConfigurationKnownToBeReplacedIsNotUsed(t *testing.T) {
	playStorm(t, func(is *is.I, _ *daemonFixture, l *storeLink, s *configurationStorm) {
		s.play(is, 3*time.Second)
		l.setRate(slowLink / 10)
		stale, _ := s.play(is, 10*time.Second)
		is.Equal(stale, 0)
		l.setRate(slowLink)
		s.play(is, defaultCatchUpPeriod)
		stale, final := s.play(is, 5*time.Second)
		is.Equal(stale, 0)
		is.True(final > 200)
	})
}
