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

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
)

// storePath is the path of a daemon to the store.
type storePath struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	lateness  time.Duration // after which the daemon notices that it is connected, or that bytes have come
	openAgain time.Time     // until then nothing arrives
}

func (p *storePath) set(lateness time.Duration, openAgain time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness, p.openAgain = lateness, openAgain
}

// wait waits until something that has just been sent has arrived, and was noticed.
func (p *storePath) wait(ctx context.Context) error {
	p.mu.Lock()
	d := p.lateness + max(0, time.Until(p.openAgain))
	p.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect dials; a connection that took too long is given up.
func (p *storePath) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if address != "store:1" {
		return p.dial(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := p.wait(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Err: err}
	}
	c, err := p.dial(ctx, network, address)
	return &storeConn{c, p}, err
}

// stepLateness is how late the daemon notices a step of a call when requests are still admitted: its
// timer or its connection is late, and then the goroutine that waits for it.
const stepLateness = 2 * caller.MaxLateness

// storeConn is a connection over a path.
type storeConn struct {
	net.Conn
	path *storePath
}

// Read implements net.Conn.
func (c *storeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	_ = c.path.wait(context.Background()) // the context has no end
	return n, err
}

// putVersion writes a version of the configuration with a route whose prefix is the version.
func (f *daemonFixture) putVersion(version int) {
	v := strconv.Itoa(version)
	route := `"routes": [{"name": "added", "host": "assist.example", "prefix": "/` + v + `/", "type": "idempotent", "timeout_ms": 3000, "service": "ledger", "max_attempts": 2},`
	config := bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(`"version": `+v), 1)
	f.store.Put(platform.ConfigRowKey, bytes.Replace(config, []byte(`"routes": [`), []byte(route), 1))
}

// Guards against a configuration that is not in force in time after the store was away, since the
// times in which the daemon finds that out add up, and its processor is as late as it may be while
// requests are admitted.
func TestConfigurationIsInForceAfterTheStoreWasAway(t *testing.T) {
	const away, step, changeAfter = 1500 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond
	for _, tt := range []struct {
		name string
		lose func(f *daemonFixture, p *storePath) (back time.Time) // when the store can be reached again
	}{
		{"connections fall silent", func(f *daemonFixture, _ *storePath) time.Time {
			f.network.Silence("store:1")
			return time.Now()
		}},
		{"nothing arrives", func(_ *daemonFixture, p *storePath) time.Time {
			back := time.Now().Add(away)
			p.set(stepLateness, back)
			return back
		}},
		{"calls are rejected", func(f *daemonFixture, _ *storePath) time.Time {
			f.store.SetFault(standin.TableFault{Down: true})
			time.AfterFunc(away, func() { f.store.SetFault(standin.TableFault{}) })
			return time.Now().Add(away)
		}},
		{"history is lost", func(f *daemonFixture, p *storePath) time.Time {
			back := time.Now().Add(away)
			p.set(stepLateness, back)
			time.AfterFunc(away, f.store.DropHistory)
			return back
		}},
	} {
		for _, catchUp := range []time.Duration{0, 4 * time.Second} {
			t.Run(tt.name+"/"+catchUp.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f, p := &daemonFixture{catchUp: catchUp}, &storePath{}
					f.path = p.connect
					p.dial = f.network.Dial
					f.start(is)
					defer f.close()
					time.Sleep(10 * time.Second)
					bound, version := catchUp, 1
					if catchUp == 0 {
						bound = defaultCatchUpPeriod
					}
					for age := time.Duration(0); age < bound; age += step {
						version += 2
						f.putVersion(version) // the next poll begins
						p.set(stepLateness, time.Time{})
						time.Sleep(age)
						back := tt.lose(f, p)
						time.Sleep(changeAfter)
						f.putVersion(version + 1)
						time.Sleep(time.Until(back.Add(bound)))
						if status := f.send(is, "/"+strconv.Itoa(version+1)+"/x", "r"+strconv.Itoa(version), ""); status != http.StatusOK {
							t.Errorf("store lost %v after a poll began: status %d at the end of the catch-up period", age, status)
						}
						p.set(0, time.Time{})
						time.Sleep(5 * time.Second)
					}
				})
			})
		}
	}
}

// Guards against a final answer to a request without a route, from a node that cannot know whether
// the route has been added meanwhile.
func TestUnknownRouteIsNoFinalAnswerWhileTheConfigurationMayBeOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDaemonFixture(is)
		defer f.close()
		time.Sleep(10 * time.Second)
		is.Equal(f.send(is, "/unknown/x", "r1", ""), http.StatusNotFound)
		f.store.SetFault(standin.TableFault{Down: true})
		time.Sleep(2 * defaultCatchUpPeriod) // a poll that is open is ended by the store
		f.putVersion(2)
		is.Equal(f.send(is, "/2/x", "r2", ""), http.StatusServiceUnavailable)
		is.Equal(f.send(is, "/orders/x", "r3", ""), http.StatusOK) // what the node knows is served
		f.store.SetFault(standin.TableFault{})
		time.Sleep(defaultCatchUpPeriod)
		is.Equal(f.send(is, "/2/x", "r4", ""), http.StatusOK)
		is.Equal(f.send(is, "/unknown/x", "r5", ""), http.StatusNotFound)
	})
}

// Guards against rejections that ask the caller to try again although the node has all changes: a poll
// that a change has ended says less of when it was answered than one that the store has held.
func TestUnknownRouteIsFinalAfterAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDaemonFixture(is)
		defer f.close()
		time.Sleep(10 * time.Second)
		for version := 2; version < 6; version++ {
			f.putVersion(version)
			for i := range 13 {
				time.Sleep(130 * time.Millisecond)
				is.Equal(f.send(is, "/unknown/x", fmt.Sprintf("r%d.%d", version, i), ""), http.StatusNotFound)
			}
		}
	})
}
