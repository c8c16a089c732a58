package node

import (
	"slices"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

const (
	// streamShareInterval is the shortest time between two messages about streams that have begun.
	streamShareInterval = 75 * time.Millisecond
	// streamCopies is the number of nodes that are told of a stream.
	streamCopies = 6
	// smallFleetNodes is the number of nodes below which each message goes to all keepers at once.
	smallFleetNodes = 16
	// streamShareRate bounds the bytes a second of the messages of their own in larger fleets. It is half of
	// what a node has for control: it receives as much as it sends.
	streamShareRate = 1000
	// messageBytes is what a message between nodes takes beside its content.
	messageBytes = 160
	// maxRepeatedStreams bounds the streams in a message in larger fleets if others know some of them.
	maxRepeatedStreams = 30
	// maxCarriedStreams bounds the streams that a request for a grant carries.
	maxCarriedStreams = 6
	// sharedStreamAge is the age from which a stream is not told of any more, and settledStreamAge that from
	// which no message about it is in flight if enough nodes were told.
	sharedStreamAge  = 12 * time.Second
	settledStreamAge = 500 * time.Millisecond
)

// streamSharing decides which nodes are told where streams began at this one, and when. Requests for grants
// carry the newest streams to the owners of engines; what too few of them bring to others goes to keepers in messages
// of its own. In larger fleets these take turns, within a rate. The zero value is ready to use. It is safe
// for concurrent use.
type streamSharing struct {
	mu      sync.Mutex
	streams []*sharedStream // in the order in which they began
	next    time.Time       // no message is sent before, in larger fleets
	turn    int             // of the keepers, in larger fleets
	busy    map[string]bool // keepers with a message in flight
	live    []candidate     // at the last call of retain
}

// sharedStream is a stream that too few nodes were told of.
type sharedStream struct {
	backend.StreamOrigin
	at   time.Time
	told []string // names of nodes
}

// streamMessage is a message about streams to a keeper.
type streamMessage struct {
	keeper  string
	streams []backend.StreamOrigin
}

// add takes streams that began at this node.
func (s *streamSharing) add(now time.Time, list []backend.StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		s.streams = append(s.streams, &sharedStream{StreamOrigin: o, at: now})
	}
}

// retain forgets that nodes were told which are not live any more, and streams that are too old or known to
// enough nodes. It reports whether streams are left.
func (s *streamSharing) retain(now time.Time, live []candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.live, live) {
		s.live = live
		names := make(map[string]bool, len(live))
		for _, c := range live {
			names[c.name] = true
		}
		for _, o := range s.streams {
			o.told = slices.DeleteFunc(o.told, func(name string) bool { return !names[name] })
		}
	}
	s.streams = slices.DeleteFunc(s.streams, func(o *sharedStream) bool {
		age := now.Sub(o.at)
		return age > sharedStreamAge || age > settledStreamAge && len(o.told) >= streamCopies
	})
	return len(s.streams) > 0
}

// carried returns the streams that a request for a grant carries to a node.
func (s *streamSharing) carried(node string) []backend.StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(node, maxCarriedStreams, 0)
}

// take returns streams that a node was not told of, the newest first: those that nobody was told of, up to mostNew,
// and others while there are fewer than most. The caller holds s.mu.
func (s *streamSharing) take(node string, most, mostNew int) (list []backend.StreamOrigin) {
	for _, o := range slices.Backward(s.streams) {
		if len(list) >= max(most, mostNew) {
			break
		}
		if slices.Contains(o.told, node) || len(o.told) > 0 && len(list) >= most {
			continue
		}
		o.told = append(o.told, node)
		list = append(list, o.StreamOrigin)
	}
	return list
}

// messages returns the messages to send now. keepers are the nodes to tell, and nodes is the size of the fleet.
// The caller calls begin before it sends each of them, and end after that.
func (s *streamSharing) messages(now time.Time, keepers []string, nodes int) (list []streamMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = make(map[string]bool)
	}
	if nodes < smallFleetNodes {
		for _, keeper := range keepers {
			list = s.appendMessage(list, keeper, len(s.streams))
		}
		return list
	}
	for range keepers {
		if now.Before(s.next) || len(list) > 0 {
			break
		}
		s.turn++
		list = s.appendMessage(list, keepers[s.turn%len(keepers)], maxRepeatedStreams)
	}
	return list
}

func (s *streamSharing) appendMessage(list []streamMessage, keeper string, most int) []streamMessage {
	if s.busy[keeper] {
		return list
	}
	streams := s.take(keeper, most, len(s.streams))
	if len(streams) == 0 {
		return list
	}
	s.busy[keeper] = true
	return append(list, streamMessage{keeper, streams})
}

// begin records the size of a message that is about to be sent.
func (s *streamSharing) begin(now time.Time, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = now.Add(time.Duration(bytes+messageBytes) * time.Second / streamShareRate)
}

// end records whether a message reached its keeper.
func (s *streamSharing) end(m streamMessage, ok bool) {
	s.mu.Lock()
	delete(s.busy, m.keeper)
	s.mu.Unlock()
	if !ok {
		s.lost(m.keeper, m.streams)
	}
}

// lost records that a node was not told of streams after all.
func (s *streamSharing) lost(node string, streams []backend.StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make(map[backend.StreamKey]bool, len(streams))
	for _, o := range streams {
		keys[o.Key] = true
	}
	for _, o := range s.streams {
		if keys[o.Key] {
			o.told = slices.DeleteFunc(o.told, func(name string) bool { return name == node })
		}
	}
}
