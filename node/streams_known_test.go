//go:build !race

package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// playedSharing is a fleet whose nodes tell each other of streams, without a network.
type playedSharing struct {
	nodes   []candidate
	keepers [][]string
	sharing []streamSharing
	owners  int // nodes that own engines
	known   map[backend.StreamKey][]string
	begun   []playedStream
}

type playedStream struct {
	key  backend.StreamKey
	node string
	at   time.Time
}

func newPlayedSharing(nodes, owners int) *playedSharing {
	p := &playedSharing{owners: owners, sharing: make([]streamSharing, nodes), known: make(map[backend.StreamKey][]string)}
	for i := range nodes {
		p.nodes = append(p.nodes, candidate{fmt.Sprint(i), fmt.Sprint(i % 4)})
	}
	for _, self := range p.nodes {
		p.keepers = append(p.keepers, streamKeepers(self, p.nodes))
	}
	return p
}

func (p *playedSharing) tell(node string, list []backend.StreamOrigin) {
	for _, o := range list {
		p.known[o.Key] = append(p.known[o.Key], node)
	}
}

// tick plays one interval, in which n streams begin at each node on average.
func (p *playedSharing) tick(now time.Time, rng *rand.Rand, n float64) {
	for i := range p.nodes {
		s, self := &p.sharing[i], p.nodes[i].name
		list := drawOrigins(rng, n)
		for _, o := range list { // the grant precedes the stream
			owner := p.nodes[rng.IntN(p.owners)].name
			p.tell(owner, []backend.StreamOrigin{o})
			if owner != self {
				p.tell(owner, s.carried(owner))
			}
			p.begun = append(p.begun, playedStream{o.Key, self, now})
		}
		s.add(now, list)
		s.retain(now, p.nodes)
		for _, m := range s.messages(now, p.keepers[i], len(p.nodes)) {
			s.begin(now, proto.Size(&peerpb.KeepStreamsRequest{Streams: encodeStreamOrigins(m.streams)}))
			p.tell(m.keeper, m.streams)
			s.end(m, true)
		}
	}
}

// knownAfter returns the share of the streams of nodes that end, begun since a time, that a node knows which is left.
func (p *playedSharing) knownAfter(since time.Time, part float64, rng *rand.Rand) float64 {
	ended := make(map[string]bool)
	for _, i := range rng.Perm(len(p.nodes))[:int(part*float64(len(p.nodes)))] {
		ended[p.nodes[i].name] = true
	}
	known, all := 0, 0
	for _, s := range p.begun {
		if !ended[s.node] || s.at.Before(since) {
			continue
		}
		all++
		if slices.ContainsFunc(p.known[s.key], func(name string) bool { return !ended[name] }) {
			known++
		}
	}
	return float64(known) / float64(all)
}

// Guards against a fleet in which most streams of nodes that end at once are known to none that is left. At least half
// of them must be, for any part of the nodes up to 0.8, in small fleets and at the size of two years from now.
func TestStreamsAreKnownAfterManyNodesEndAtOnce(t *testing.T) {
	const leastKnown = 0.5
	const streamTime = 3 * time.Second // the oldest streams that are in progress
	for _, tt := range []struct {
		nodes, owners    int
		streamsPerSecond float64 // of all nodes
	}{
		{16, 4, 20},
		{40, 8, 100},
		{91, 40, 2800},
		{360, 360, 30000},
	} {
		t.Run(fmt.Sprint(tt.nodes), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(2, uint64(tt.nodes)))
			p := newPlayedSharing(tt.nodes, tt.owners)
			now := time.Unix(1000, 0)
			for range int((streamTime + 2*time.Second) / streamShareInterval) {
				now = now.Add(streamShareInterval)
				p.tick(now, rng, tt.streamsPerSecond/float64(tt.nodes)*streamShareInterval.Seconds())
			}
			for _, part := range []float64{0.3, 0.4, 0.5, 0.6, 0.7, 0.8} {
				sum := 0.0
				const draws = 20
				for range draws {
					sum += p.knownAfter(now.Add(-streamTime), part, rng)
				}
				t.Logf("%d nodes, %.1f end: %.3f known", tt.nodes, part, sum/draws)
				is.True(sum/draws >= leastKnown)
			}
		})
	}
}
