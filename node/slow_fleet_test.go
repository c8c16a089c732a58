//go:build !race

package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/standin"
)

// slowFleet is a fleet whose nodes answer each other late, as those do that have too little processor time.
type slowFleet struct {
	net     *standin.Network
	nodes   []*Node
	streams []*backend.StreamOrigins

	mu    sync.Mutex
	rng   *rand.Rand
	delay time.Duration // the longest
}

func newSlowFleet(nodes int) *slowFleet {
	f := &slowFleet{net: standin.NewNetwork(), rng: rand.New(rand.NewPCG(1, uint64(nodes)))}
	f.net.Listen(platformProcess, "10.9.0.1:1", &standin.Table{})
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		client := f.net.Client(name)
		f.streams = append(f.streams, &backend.StreamOrigins{})
		f.nodes = append(f.nodes, New(Config{
			Name: name, Process: name, Address: peerAddress(i), TableURL: tableURL, HTTP: client, ServiceHTTP: client, Clock: clock.Virtual(),
			Streams: f.streams[i], Builds: &backend.BuildHistory{}, SettingsPushed: true, Seed: uint64(i),
			LeaseTTL: 2500 * time.Millisecond, LeaseMargin: 300 * time.Millisecond, RenewEvery: time.Second, TableRenewEvery: 5 * time.Second,
			PollEvery: 2 * time.Second, ProbeAfter: 100 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond,
		}))
		f.net.Listen(name, peerAddress(i), f.late(f.nodes[i].Peers()))
		f.nodes[i].Start()
	}
	return f
}

// late delays the answers to questions about streams and to heartbeats.
func (f *slowFleet) late(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		delay := time.Duration(f.rng.Int64N(int64(f.delay) + 1))
		f.mu.Unlock()
		if strings.Contains(r.URL.Path, "FindStream") || strings.HasSuffix(r.URL.Path, "Heartbeat") {
			time.Sleep(delay)
		}
		h.ServeHTTP(w, r)
	})
}

func (f *slowFleet) close() {
	for i, n := range f.nodes {
		f.net.Thaw(n.Name())
		f.net.Kill(n.Name())
		f.nodes[i].Kill()
	}
	time.Sleep(time.Minute) // lets background goroutines time out
}

// Guards against take-ups that are rejected since the nodes that know where the streams began answer later than a node
// counts as unresponsive, and against those that wait for nodes that never answer.
func TestStreamsAreFoundAtSlowNodes(t *testing.T) {
	const (
		nodes, frozen = 24, 2
		known         = 60 // streams, each at one node that is left
		callerTimeout = 6 * time.Second
		leastFound    = 0.5
	)
	for _, ended := range []float64{0.3, 0.6, 0.8} {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%.1f ended, up to %v late", ended, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newSlowFleet(nodes)
					defer f.close()
					time.Sleep(10 * time.Second)
					f.mu.Lock()
					f.delay = delay
					f.mu.Unlock()
					rng := rand.New(rand.NewPCG(2, uint64(delay)))
					order := rng.Perm(nodes)
					gone := int(ended * nodes)
					left := order[gone+frozen:]
					keys := drawOrigins(rng, known)
					for i, o := range keys {
						f.streams[left[i%len(left)]].Learn(time.Now(), []backend.StreamOrigin{o})
					}
					for _, i := range order[:gone] {
						f.net.Kill(f.nodes[i].Name())
					}
					for _, i := range order[gone : gone+frozen] {
						f.net.Freeze(f.nodes[i].Name())
					}
					var mu sync.Mutex
					var found, asked int
					var longest time.Duration // until an unknown stream is rejected
					search := func(i int, key backend.StreamKey, isKnown bool) {
						ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
						defer cancel()
						began := time.Now()
						s := f.nodes[left[i%len(left)]].FindStream(ctx, key, "kaba98a")
						mu.Lock()
						defer mu.Unlock()
						switch {
						case isKnown:
							asked++
							if s.Found {
								found++
							}
						default:
							is.True(!s.Found && !s.IsComplete)
							longest = max(longest, time.Since(began))
						}
					}
					var wg sync.WaitGroup
					for i, o := range keys {
						wg.Go(func() { search(i+1, o.Key, true) })
						wg.Go(func() { search(i, backend.StreamKey{byte(i), 1, 2, 3}, false) })
						time.Sleep(time.Millisecond)
					}
					wg.Wait()
					first := longest
					longest = 0
					for i := range left {
						wg.Go(func() { search(i, backend.StreamKey{byte(i), 4, 5, 6}, false) })
					}
					wg.Wait()
					t.Logf("%d of %d found; unknown ones rejected after %v at most, and after %v once it is known which nodes do not answer", found, asked, first, longest)
					is.True(float64(found) >= leastFound*float64(asked))
					is.True(first <= callerTimeout/2)       // the other half is left for another attempt
					is.True(longest <= 2*delay+time.Second) // nothing that is frozen is waited for again
				})
			})
		}
	}
}
