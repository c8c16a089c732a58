package node

import (
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// requestKeepers is the number of nodes that are told of each crash of a request. The evidence of
// all nodes meets at one of them unless all have ended.
const requestKeepers = 3

// keepers returns the names of the nodes that keep the crashes of a request: the first choices of
// rendezvous hashing over the live nodes that are not leaving.
func keepers(nodes []string, f backend.Fingerprint) []string {
	return engine.Rendezvous(requestKey(f), nodes, nil, requestKeepers)
}

// requestKey is the key of a request for rendezvous hashing; it is the same for all callers.
func requestKey(f backend.Fingerprint) string {
	return "request/" + backend.Fingerprint{Target: f.Target}.String()
}

// requestMessages divides the events among the nodes that are to be told of them.
type requestMessages struct {
	toAll     backend.RequestEvents
	toKeepers map[string]backend.RequestEvents // by node
}

func newRequestMessages(toKeepers, toAll backend.RequestEvents, nodes []string) requestMessages {
	m := requestMessages{toAll: toAll, toKeepers: make(map[string]backend.RequestEvents)}
	for _, c := range toKeepers.Crashes {
		for _, name := range keepers(nodes, c.Fingerprint) {
			e := m.toKeepers[name]
			e.Crashes = append(e.Crashes, c)
			m.toKeepers[name] = e
		}
	}
	for _, f := range toKeepers.Cleared {
		for _, name := range keepers(nodes, f) {
			e := m.toKeepers[name]
			e.Cleared = append(e.Cleared, f)
			m.toKeepers[name] = e
		}
	}
	return m
}

// to returns the events that a node is to be told of.
func (m requestMessages) to(node string) (list []backend.RequestEvents) {
	for _, e := range []backend.RequestEvents{m.toKeepers[node], m.toAll} {
		if !e.IsEmpty() {
			list = append(list, e)
		}
	}
	return list
}

func encodeRequestEvents(now time.Time, list []backend.RequestEvents) (out []*peerpb.RequestEvents) {
	for _, e := range list {
		p := &peerpb.RequestEvents{ToAll: e.ToAll}
		for _, c := range e.Crashes {
			p.Crashes = append(p.Crashes, &peerpb.RequestCrash{
				Fingerprint: encodeFingerprint(c.Fingerprint), Incarnation: c.Incarnation,
				AgeMs: now.Sub(c.At).Milliseconds(), InFlightMs: c.InFlight.Milliseconds(), Events: int32(c.Events),
			})
		}
		for _, f := range e.Cleared {
			p.Cleared = append(p.Cleared, encodeFingerprint(f))
		}
		out = append(out, p)
	}
	return out
}

// recordRequestEvents takes the events of another node.
func (n *Node) recordRequestEvents(req *peerpb.HeartbeatRequest) {
	if n.cfg.Requests == nil {
		return
	}
	now := time.Now()
	for _, p := range req.GetRequestEvents() {
		for _, f := range n.cfg.Requests.Record(now, n.decodeRequestEvents(now, p)) {
			n.LogRequestQuarantine(f)
		}
	}
}

func (n *Node) decodeRequestEvents(now time.Time, p *peerpb.RequestEvents) backend.RequestEvents {
	e := backend.RequestEvents{ToAll: p.GetToAll()}
	for _, c := range p.GetCrashes() {
		if f, ok := n.decodeFingerprint(c.GetFingerprint()); ok {
			e.Crashes = append(e.Crashes, backend.RequestCrash{
				At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond), Fingerprint: f, Incarnation: c.GetIncarnation(),
				InFlight: time.Duration(c.GetInFlightMs()) * time.Millisecond, Events: int(c.GetEvents()),
			})
		}
	}
	for _, b := range p.GetCleared() {
		if f, ok := n.decodeFingerprint(b); ok {
			e.Cleared = append(e.Cleared, f)
		}
	}
	return e
}

func encodeFingerprint(f backend.Fingerprint) []byte {
	return slices.Concat(f.Target[:], f.Caller[:])
}

func (n *Node) decodeFingerprint(b []byte) (f backend.Fingerprint, ok bool) {
	if len(b) != len(f.Target)+len(f.Caller) {
		n.log.Error("ignoring a fingerprint of another length in a message of a node", "bytes", len(b))
		return f, false
	}
	copy(f.Caller[:], b[copy(f.Target[:], b):])
	return f, true
}

// heldRequests returns the requests that this node has in quarantine.
func (n *Node) heldRequests() (list []*peerpb.HeldRequest) {
	if n.cfg.Requests == nil {
		return nil
	}
	for _, r := range n.cfg.Requests.Quarantines(time.Now()) {
		list = append(list, &peerpb.HeldRequest{Fingerprint: encodeFingerprint(r.Fingerprint), LeftMs: r.Left.Milliseconds(), LengthMs: r.Length.Milliseconds()})
	}
	return list
}

// learnHeldRequests takes the requests that another node has in quarantine.
func (n *Node) learnHeldRequests(list []*peerpb.HeldRequest) {
	if n.cfg.Requests == nil || len(list) == 0 {
		return
	}
	var held []backend.HeldRequest
	for _, r := range list {
		if f, ok := n.decodeFingerprint(r.GetFingerprint()); ok {
			held = append(held, backend.HeldRequest{
				Fingerprint: f, Left: time.Duration(r.GetLeftMs()) * time.Millisecond, Length: time.Duration(r.GetLengthMs()) * time.Millisecond,
			})
		}
	}
	n.cfg.Requests.Learn(time.Now(), held)
}

// LogRequestQuarantine logs that a request is in quarantine.
func (n *Node) LogRequestQuarantine(f backend.Fingerprint) {
	n.log.Warn("a request crashes servers; rejecting it", "fingerprint", f.String())
}

// IsRequestTrialNode reports whether this node is the one that tests the quarantine of a request.
func (n *Node) IsRequestTrialNode(f backend.Fingerprint) bool {
	return n.IsChosen(requestKey(f))
}
