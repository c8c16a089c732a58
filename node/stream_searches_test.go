package node

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

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
