package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/standin"
)

// slowFleet is a fleet whose nodes answer each other late, as those do that have too little processor time.
type slowFleet struct {
	net     *standin.Network
	nodes   []*Node
	streams []*backend.StreamOrigins
	stop    func()

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

// Guards against take-ups that ask so many questions that these take the processor time of the nodes that know.
func TestStreamQuestionsAreBounded(t *testing.T) {
	const seconds, step = 4, 5 * time.Millisecond
	for _, tt := range []struct {
		nodes    int
		searches int // a second at one node, as callers return whose nodes ended
		delay    time.Duration
	}{
		{40, 9, time.Second},
		{40, 9, step},
		{91, 90, time.Second},
		{91, 90, step},
		{360, 375, time.Second},
		{360, 375, step},
	} {
		t.Run(fmt.Sprintf("%d nodes, up to %v late", tt.nodes, tt.delay), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(3, uint64(tt.nodes)))
			var peers []candidatePeer
			for i := range tt.nodes - 1 {
				peers = append(peers, candidatePeer{process: fmt.Sprint(i), canAnswer: true})
			}
			type inFlight struct {
				streamQuestion
				until time.Time
			}
			var q streamSearches
			var open []*streamSearch
			var sent []inFlight
			now := time.Unix(1000, 0)
			calls, bytes, searches, most := 0, 0, 0, map[string]int{}
			for tick := range int(seconds * time.Second / step) {
				now = now.Add(step)
				for range tt.searches*(tick+1)/200 - tt.searches*tick/200 {
					s, ok := q.begin(now, drawOrigins(rng, 1)[0].Key, "p", peers)
					is.True(ok)
					open = append(open, s)
					searches++
				}
				list, _ := q.questions(now)
				for _, m := range list {
					calls++
					bytes += proto.Size(m.request()) + messageBytes
					most[m.peer.process]++
					is.Equal(most[m.peer.process], 1) // one in flight to each node
					sent = append(sent, inFlight{m, now.Add(time.Duration(rng.Int64N(int64(tt.delay))))})
				}
				var left []inFlight
				for _, m := range sent {
					if now.Before(m.until) {
						left = append(left, m)
						continue
					}
					most[m.peer.process]--
					resp := &peerpb.FindStreamsResponse{Process: m.peer.process}
					if i, _ := strconv.Atoi(m.peer.process); i%10 < 6 { // it has ended
						resp = nil
					}
					q.answer(now, m.streamQuestion, resp)
				}
				sent = left
				var rest []*streamSearch
				for _, s := range open {
					select {
					case <-s.done:
						q.end(now, s)
					default:
						rest = append(rest, s)
					}
				}
				open = rest
			}
			for _, s := range open {
				q.end(now, s)
			}
			is.Equal(q.count, 0)
			t.Logf("%d searches at a node in %d s sent %d messages of %d bytes in all; one to each node for each search would be %d", searches, seconds, calls, bytes, searches*len(peers))
			is.True(calls <= seconds*maxStreamQuestions+len(peers))
		})
	}
}

// Guards against searches without bound while nodes do not answer.
func TestSearchesBeyondTheirBoundAreRejected(t *testing.T) {
	is := is.New(t)
	var q streamSearches
	c := candidatePeer{process: "a", canAnswer: true}
	var first *streamSearch
	for i := range maxStreamSearches + 1 {
		s, ok := q.begin(time.Now(), backend.StreamKey{byte(i), byte(i >> 8)}, "p", []candidatePeer{c})
		is.Equal(ok, i < maxStreamSearches)
		if i == 0 {
			first = s
		}
	}
	list, _ := q.questions(time.Now())
	is.Equal(len(list), 1)
	is.Equal(len(list[0].searches), maxAskedStreams)
	q.end(time.Now(), first)
	_, ok := q.begin(time.Now(), backend.StreamKey{}, "p", []candidatePeer{c})
	is.True(ok)
}

// Guards against a node that is not asked any more after one question to it failed.
func TestNodeIsAskedAgainAfterAFailedQuestion(t *testing.T) {
	is := is.New(t)
	var q streamSearches
	c := candidatePeer{process: "a", canAnswer: true}
	now := time.Unix(1000, 0)
	ask := func() *streamSearch {
		s, ok := q.begin(now, backend.StreamKey{1}, "p", []candidatePeer{c})
		is.True(ok)
		return s
	}
	first := ask()
	list, _ := q.questions(now)
	is.Equal(len(list), 1)
	second := ask()
	q.answer(now, list[0], nil)
	<-first.done
	<-second.done // it fails for the stream that waits as well
	third := ask()
	list, delay := q.questions(now)
	is.Equal(len(list), 0)
	now = now.Add(delay)
	list, _ = q.questions(now)
	is.Equal(len(list), 1)
	origin := backend.StreamOrigin{Key: backend.StreamKey{1}, Origin: backend.Origin{Pool: "p", Build: "v1"}}
	q.answer(now, list[0], &peerpb.FindStreamsResponse{Process: "a", Found: encodeStreamOrigins([]backend.StreamOrigin{origin})})
	<-third.done
	is.Equal(q.end(now, third).Origin, origin.Origin)
	c.isDown = true
	fourth := ask()
	<-fourth.done // a node that is down is not waited for
}
