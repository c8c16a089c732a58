package backend

import (
	"sync"
	"time"
)

const (
	// originRetention is how long it is remembered at least where a stream began. It is longer than
	// callers wait for a response.
	originRetention = 30 * time.Second
	// unsharedRetention is the age up to which streams are shared that began before there was a
	// reason to.
	unsharedRetention = 12 * time.Second
)

// StreamKey identifies an attempt of a stream: its ID, and what it asks for.
type StreamKey [8]byte

// Origin is where a stream began. Only servers with the same software version can go on with it.
type Origin struct {
	Pool  string
	Build string
}

// StreamOrigin is the origin of a stream.
type StreamOrigin struct {
	Key StreamKey
	Origin
}

// StreamOrigins remembers where streams began, at this node and at nodes that told it. The zero
// value is ready to use. It is safe for concurrent use.
type StreamOrigins struct {
	// IsShared, which is optional, reports whether other nodes should know where the streams of a
	// pool begin.
	IsShared func(pool string) bool

	mu       sync.Mutex
	known    originMemory
	expected originMemory     // where streams were granted that may have begun there
	unshared []unsharedStream // in order
}

// originMemory remembers origins for one to two retention times.
type originMemory struct {
	recent, older map[StreamKey]Origin
	rotated       time.Time
}

func (m *originMemory) add(now time.Time, o StreamOrigin) {
	if m.recent == nil || now.Sub(m.rotated) > originRetention {
		m.older, m.recent, m.rotated = m.recent, make(map[StreamKey]Origin), now
	}
	m.recent[o.Key] = o.Origin
}

func (m *originMemory) find(key StreamKey) (Origin, bool) {
	if o, ok := m.recent[key]; ok {
		return o, true
	}
	o, ok := m.older[key]
	return o, ok
}

func (m *originMemory) remove(key StreamKey) {
	delete(m.recent, key)
	delete(m.older, key)
}

type unsharedStream struct {
	StreamOrigin
	at time.Time
}

// Begin records that a stream began at this node.
func (s *StreamOrigins) Begin(now time.Time, o StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.add(now, o)
	s.unshared = append(s.unshared, unsharedStream{o, now})
	for len(s.unshared) > 0 && now.Sub(s.unshared[0].at) > unsharedRetention {
		s.unshared = s.unshared[1:]
	}
}

// Learn takes the origins of streams that began at other nodes.
func (s *StreamOrigins) Learn(now time.Time, list []StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		s.known.add(now, o)
	}
}

// Find returns where a stream began, if it is known.
func (s *StreamOrigins) Find(key StreamKey) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.find(key)
}

// Expect records that a stream was granted to a server. If its node ends before it tells anybody, the stream began
// there if anywhere.
func (s *StreamOrigins) Expect(now time.Time, o StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected.add(now, o)
}

// Expected returns where a stream was granted, if it is known.
func (s *StreamOrigins) Expected(key StreamKey) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expected.find(key)
}

// Withdraw records that streams did not begin where they were granted.
func (s *StreamOrigins) Withdraw(keys []StreamKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.expected.remove(key)
	}
}

// AgreedOrigin returns the only origin in a list.
func AgreedOrigin(list []Origin) (o Origin, ok bool) {
	for i, other := range list {
		if i > 0 && other != o {
			return Origin{}, false
		}
		o = other
	}
	return o, len(list) > 0
}

// TakeUnshared returns the streams that began here, that other nodes should know, and that were
// not taken before.
func (s *StreamOrigins) TakeUnshared(now time.Time) (list []StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := make(map[string]bool)
	kept := s.unshared[:0:0]
	for _, u := range s.unshared {
		isShared, ok := shared[u.Pool]
		if !ok {
			isShared = s.IsShared != nil && s.IsShared(u.Pool)
			shared[u.Pool] = isShared
		}
		switch {
		case now.Sub(u.at) > unsharedRetention:
		case isShared:
			list = append(list, u.StreamOrigin)
		default:
			kept = append(kept, u)
		}
	}
	s.unshared = kept
	return list
}
