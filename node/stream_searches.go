package node

import (
	"slices"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

const (
	// maxStreamQuestions bounds the messages a second with which a node asks others where streams began.
	maxStreamQuestions = 500
	// maxAskedStreams bounds the streams that one message asks about.
	maxAskedStreams = 512
	// maxStreamSearches bounds the searches in progress at a node. Take-ups beyond it are rejected.
	maxStreamSearches = 1024
	// streamRetryDelay is the time for which a node that did not answer is not asked again.
	streamRetryDelay = time.Second
)

// streamSearches decides which nodes are asked where streams began, and when. A node is asked in one message at a
// time, about all streams that wait by then. The zero value is ready to use. It is safe for concurrent use.
type streamSearches struct {
	mu      sync.Mutex
	peers   map[string]*askedPeer // by process
	count   int                   // of the searches in progress
	callsAt time.Time             // when questions is called next, or zero
}

// askedPeer is another node that is asked.
type askedPeer struct {
	candidatePeer
	isAsked bool             // a message is in flight
	next    time.Time        // no message is sent before
	waiting []awaitingSearch // that no message has asked about
}

// candidatePeer is a node that a search may ask.
type candidatePeer struct {
	process, address string
	canAnswer        bool // its session has not ended
	isDown           bool // it did not answer the last heartbeats
}

// awaitingSearch is a search that asks a node.
type awaitingSearch struct {
	*streamSearch
	isAwaiting bool // it does not end before the node has answered
}

// streamSearch is the search for the origin of one stream. The mutex of its streamSearches guards the fields.
type streamSearch struct {
	key     backend.StreamKey
	pool    string
	began   time.Time
	peers   int // other nodes
	awaited int // nodes that are expected to answer
	answers int // of processes of which this node has read
	result  StreamSearch
	isDone  bool
	done    chan struct{} // closed once the origin is found or no answer is awaited
}

// streamQuestion is a message that asks a node about the streams of some searches.
type streamQuestion struct {
	peer     *askedPeer
	address  string
	searches []awaitingSearch
}

// request returns the message.
func (m streamQuestion) request() *peerpb.FindStreamsRequest {
	req := &peerpb.FindStreamsRequest{}
	byPool := make(map[string]*peerpb.PoolStreams)
	for _, s := range m.searches {
		p := byPool[s.pool]
		if p == nil {
			p = &peerpb.PoolStreams{Pool: s.pool}
			byPool[s.pool] = p
			req.Pools = append(req.Pools, p)
		}
		p.Keys = append(p.Keys, s.key[:]...)
	}
	return req
}

// begin begins a search, unless too many are in progress. The caller calls end after it. peers are the other nodes,
// among which those that are down are asked as well, but not waited for.
func (q *streamSearches) begin(now time.Time, key backend.StreamKey, pool string, peers []candidatePeer) (*streamSearch, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count >= maxStreamSearches {
		return nil, false
	}
	q.count++
	s := &streamSearch{key: key, pool: pool, began: now, peers: len(peers), done: make(chan struct{})}
	q.setPeers(peers)
	for _, c := range peers {
		p := q.peers[c.process]
		if !c.canAnswer || c.isDown && (p.isAsked || now.Before(p.next)) {
			continue
		}
		if !c.isDown {
			s.awaited++
		}
		p.waiting = append(p.waiting, awaitingSearch{s, !c.isDown})
	}
	s.finishIfDone()
	return s, true
}

// setPeers replaces the nodes that are asked. The caller holds q.mu.
func (q *streamSearches) setPeers(peers []candidatePeer) {
	if q.peers == nil {
		q.peers = make(map[string]*askedPeer)
	}
	for _, c := range peers {
		p := q.peers[c.process]
		if p == nil {
			p = &askedPeer{}
			q.peers[c.process] = p
		}
		p.candidatePeer = c
	}
	if len(q.peers) == len(peers) {
		return
	}
	for process, p := range q.peers {
		if !slices.ContainsFunc(peers, func(c candidatePeer) bool { return c.process == process }) {
			stopAwaiting(p.waiting)
			delete(q.peers, process)
		}
	}
}

// questions returns the messages to send now. If others must wait, the caller calls it again after a delay. The caller
// calls answer after each message.
func (q *streamSearches) questions(now time.Time) (list []streamQuestion, delay time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !now.Before(q.callsAt) {
		q.callsAt = time.Time{}
	}
	interval := time.Duration(len(q.peers)) * time.Second / maxStreamQuestions
	var next time.Time
	for _, p := range q.peers {
		switch {
		case p.isAsked || len(p.waiting) == 0:
		case now.Before(p.next):
			if next.IsZero() || p.next.Before(next) {
				next = p.next
			}
		default:
			if m := p.take(); len(m) > 0 {
				list = append(list, streamQuestion{p, p.address, m})
				p.isAsked, p.next = true, now.Add(interval)
			}
		}
	}
	if next.IsZero() || !q.callsAt.IsZero() && !next.Before(q.callsAt) {
		return list, 0
	}
	q.callsAt = next
	return list, next.Sub(now)
}

// take takes the searches for one message from those that wait.
func (p *askedPeer) take() []awaitingSearch {
	open := slices.DeleteFunc(p.waiting, func(s awaitingSearch) bool { return s.isDone })
	n := min(len(open), maxAskedStreams)
	p.waiting = slices.Clone(open[n:])
	return open[:n]
}

// answer takes the answer to a message. It is nil if there is none; then the node has nothing to say about streams that
// wait to be asked about either.
func (q *streamSearches) answer(now time.Time, m streamQuestion, resp *peerpb.FindStreamsResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := m.peer
	p.isAsked = false
	if resp == nil {
		p.next = now.Add(streamRetryDelay)
		stopAwaiting(m.searches)
		stopAwaiting(p.waiting)
		p.waiting = nil
		return
	}
	found, granted, known := originsByKey(resp.GetFound()), originsByKey(resp.GetGranted()), make(map[string]backend.KnownBuilds)
	for _, b := range resp.GetBuilds() {
		known[b.GetPool()] = backend.KnownBuilds{Builds: b.GetBuilds(), IsRead: b.GetIsRead(), IsCurrent: b.GetIsCurrent()}
	}
	for _, s := range m.searches {
		if o, ok := found[s.key]; ok {
			s.result.Origin, s.result.Found = o, true
		} else if o, ok := granted[s.key]; ok {
			s.result.Granted = append(s.result.Granted, o)
		}
		s.result.Known = append(s.result.Known, known[s.pool])
		if resp.GetProcess() == p.process {
			s.answers++
		}
	}
	stopAwaiting(m.searches)
}

func originsByKey(list []*peerpb.StreamOrigins) map[backend.StreamKey]backend.Origin {
	m := make(map[backend.StreamKey]backend.Origin)
	for _, o := range decodeStreamOrigins(list) {
		m[o.Key] = o.Origin
	}
	return m
}

// stopAwaiting records that a node has answered to searches, or will not.
func stopAwaiting(list []awaitingSearch) {
	for _, s := range list {
		if s.isAwaiting {
			s.awaited--
		}
		s.finishIfDone()
	}
}

func (s *streamSearch) finishIfDone() {
	if !s.isDone && (s.result.Found || s.awaited == 0) {
		s.isDone = true
		close(s.done)
	}
}

// end ends a search, and returns what was answered until now.
func (q *streamSearches) end(now time.Time, s *streamSearch) StreamSearch {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count--
	s.isDone = true
	r := s.result
	r.Asked, r.Answers, r.Time = s.peers, s.answers, now.Sub(s.began)
	r.IsComplete = s.answers == s.peers
	return r
}
