package backend

import (
	"maps"
	"sync"
	"time"
)

const (
	// requestCrashes is the number of crashes, apart from each other, after which a request is
	// quarantined, and requestIncarnations the number of incarnations of servers among them. One
	// server that breaks off responses may be at fault itself.
	requestCrashes      = 3
	requestIncarnations = 2
	// sharedCrashes is the number of crashes of a request from which all nodes are told of them.
	// Most requests that are in flight when a server ends have one, and are served elsewhere.
	sharedCrashes = 2
	// requestQuarantineTime is the time until a quarantine of a request is first tested.
	requestQuarantineTime = 5 * time.Minute
	// requestQuarantineGrowth is the factor by which the time until the next test of a quarantined
	// request grows with each, up to maxRequestQuarantineTime. Each test may cost a server.
	requestQuarantineGrowth  = 16
	maxRequestQuarantineTime = 24 * time.Hour
	// expiryInterval is the time between two searches for what is too old. Many requests may be
	// suspected at the same moment.
	expiryInterval = time.Second
	// maxSuspectRequests bounds the requests with crashes that are remembered.
	maxSuspectRequests = 4096
)

// RequestQuarantine finds requests that crash the servers that run them, and keeps them from
// being sent. A request is suspected if servers broke it off. A complete response clears it. It
// is held back for the caller whose attempts crashed servers, and for all callers if attempts of
// several did and nobody's was completed in between, since all nodes know that it is suspected.
//
// Nodes share what they see. Of each request some nodes keep all crashes; each node tells them
// of those that it sees. Once there are several crashes of a request, all nodes are told. Take
// what is to be told with [RequestQuarantine.TakeEvents], and let others take it with
// [RequestQuarantine.Record]; [RequestQuarantine.Learn] takes the quarantines of another node. The
// zero value is ready to use. It is safe for concurrent use.
type RequestQuarantine struct {
	// IsTrialNode, which is optional, reports whether this node is the one that sends the
	// request by which a quarantine is tested.
	IsTrialNode func(f Fingerprint) bool

	mu        sync.Mutex
	requests  map[Target]*suspectRequest
	cleared   map[Fingerprint]time.Time // so that they are not learned again
	expired   time.Time                 // when expire last looked at all
	toKeepers RequestEvents
	toAll     RequestEvents
}

// RequestCrash tells that a server broke off a request.
type RequestCrash struct {
	At          time.Time // the zero value in an event of another node means now
	Fingerprint Fingerprint
	Incarnation string        // of the server; see [Server.Incarnation]
	InFlight    time.Duration // from when the request was sent
	Events      int           // that the server had sent, if it is a stream
}

// RequestEvents is what one node has seen.
type RequestEvents struct {
	Crashes []RequestCrash
	Cleared []Fingerprint // suspected requests with a complete response
	ToAll   bool          // all nodes are told
}

// IsEmpty reports whether there are no events.
func (e RequestEvents) IsEmpty() bool { return len(e.Crashes) == 0 && len(e.Cleared) == 0 }

// HeldRequest is a request in quarantine.
type HeldRequest struct {
	Fingerprint Fingerprint
	Left        time.Duration
	Length      time.Duration
}

// IsEmpty reports whether no request is suspected or in quarantine.
func (q *RequestQuarantine) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests) == 0
}

// Admit decides about a request that has just arrived. If it may not be sent, it returns how
// long the quarantine lasts. The request is a trial if it is the one by which the quarantine is
// tested; it must be sent once only.
func (q *RequestQuarantine) Admit(now time.Time, f Fingerprint) (left time.Duration, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	term, of := q.term(f)
	if term == nil {
		return 0, false
	}
	isTrialNode := func() bool { return q.IsTrialNode == nil || q.IsTrialNode(of) }
	return term.admit(now, isTrialNode, requestQuarantineGrowth, maxRequestQuarantineTime)
}

// Left returns how long a request must not be sent, or 0.
func (q *RequestQuarantine) Left(now time.Time, f Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if term, _ := q.term(f); term != nil {
		return term.left(now)
	}
	return 0
}

// ObserveCrash records that a server broke off a request, and reports whether its quarantine
// begins.
func (q *RequestQuarantine) ObserveCrash(now time.Time, c RequestCrash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.At = now
	begun := q.recordCrash(now, c, false)
	if r := q.requests[c.Fingerprint.Target]; len(r.crashes) < sharedCrashes {
		q.toKeepers.Crashes = append(q.toKeepers.Crashes, c)
	}
	return begun
}

// ObserveResponse records a complete response to a request.
func (q *RequestQuarantine) ObserveResponse(now time.Time, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	shared, changed := q.clear(now, f)
	switch {
	case !changed:
	case shared:
		q.toAll.Cleared = append(q.toAll.Cleared, f)
	default:
		q.toKeepers.Cleared = append(q.toKeepers.Cleared, f)
	}
}

// Record takes events of another node, and returns the requests whose quarantines begin.
func (q *RequestQuarantine) Record(now time.Time, e RequestEvents) (begun []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range e.Crashes {
		if c.At.IsZero() || c.At.After(now) {
			c.At = now
		}
		if q.recordCrash(now, c, e.ToAll) {
			begun = append(begun, c.Fingerprint)
		}
	}
	for _, f := range e.Cleared {
		if shared, changed := q.clear(now, f); shared && changed && !e.ToAll {
			q.toAll.Cleared = append(q.toAll.Cleared, f)
		}
	}
	return begun
}

// TakeEvents returns the events that were not taken before: those for the nodes that keep the
// crashes of their requests, and those for all nodes.
func (q *RequestQuarantine) TakeEvents() (toKeepers, toAll RequestEvents) {
	q.mu.Lock()
	defer q.mu.Unlock()
	toKeepers, toAll = q.toKeepers, q.toAll
	toAll.ToAll = true
	q.toKeepers, q.toAll = RequestEvents{}, RequestEvents{}
	return toKeepers, toAll
}

// Quarantines returns the requests in quarantine.
func (q *RequestQuarantine) Quarantines(now time.Time) (list []HeldRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for target, r := range q.requests {
		for caller, term := range r.held {
			if len(list) < maxQuarantines {
				list = append(list, HeldRequest{Fingerprint: Fingerprint{target, caller}, Left: term.left(now), Length: term.length})
			}
		}
	}
	return list
}

// Learn takes the quarantines of another node, without requests that were cleared here.
func (q *RequestQuarantine) Learn(now time.Time, list []HeldRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, in := range list {
		left, length := min(in.Left, maxRequestQuarantineTime), min(max(in.Length, requestQuarantineTime), maxRequestQuarantineTime)
		if left <= 0 || !q.cleared[in.Fingerprint].IsZero() {
			continue
		}
		r := q.request(now, in.Fingerprint.Target)
		if known := r.held[in.Fingerprint.Caller]; known == nil || length > known.length {
			r.hold(in.Fingerprint.Caller, &quarantineTerm{now.Add(left), length})
		}
	}
}

// The methods below must be called with q.mu held.

// term returns the quarantine that holds for a request and lasts longer, of its caller or of all
// callers, or nil.
func (q *RequestQuarantine) term(f Fingerprint) (term *quarantineTerm, of Fingerprint) {
	r := q.requests[f.Target]
	if r == nil {
		return nil, f
	}
	own, all := r.held[f.Caller], r.held[CallerHash{}]
	if own == nil || all != nil && all.isLonger(own) {
		return all, f.ofAll()
	}
	return own, f
}

// request returns the record of a request, which is new if there is none. If there are too many,
// one that is not in quarantine is dropped.
func (q *RequestQuarantine) request(now time.Time, target Target) *suspectRequest {
	q.expire(now)
	if r := q.requests[target]; r != nil {
		return r
	}
	if q.requests == nil {
		q.requests, q.cleared = make(map[Target]*suspectRequest), make(map[Fingerprint]time.Time)
	}
	if len(q.requests) >= maxSuspectRequests {
		for other, r := range q.requests {
			if len(r.held) == 0 {
				delete(q.requests, other)
				break
			}
		}
	}
	r := &suspectRequest{lastCrash: now}
	q.requests[target] = r
	return r
}

// recordCrash records a crash, which all nodes know if told is set, and reports whether the
// quarantine of the request begins. Once there are several crashes, all nodes are told of them.
func (q *RequestQuarantine) recordCrash(now time.Time, c RequestCrash, told bool) bool {
	r := q.request(now, c.Fingerprint.Target)
	r.add(now, c, told)
	if len(r.crashes) >= sharedCrashes {
		q.toAll.Crashes = append(q.toAll.Crashes, r.takeUntold()...)
	}
	begun := false
	for _, f := range []Fingerprint{c.Fingerprint, c.Fingerprint.ofAll()} {
		if r.held[f.Caller] == nil && r.isAtFault(f.Caller) {
			r.hold(f.Caller, &quarantineTerm{now.Add(requestQuarantineTime), requestQuarantineTime})
			delete(q.cleared, f)
			begun = true
		}
	}
	return begun
}

// clear records a complete response to a request. It reports whether all nodes know that the
// request is suspected, and whether the response changes anything.
func (q *RequestQuarantine) clear(now time.Time, f Fingerprint) (shared, changed bool) {
	r := q.requests[f.Target]
	if r == nil {
		return false, false
	}
	shared = r.isShared()
	if !r.clear(now, f.Caller) {
		return shared, false
	}
	q.cleared[f], q.cleared[f.ofAll()] = now, now
	if r.isEmpty() {
		delete(q.requests, f.Target)
	}
	return shared, true
}

// expire deletes what is too old to count, once in expiryInterval.
func (q *RequestQuarantine) expire(now time.Time) {
	if now.Sub(q.expired) < expiryInterval {
		return
	}
	q.expired = now
	maps.DeleteFunc(q.requests, func(_ Target, r *suspectRequest) bool {
		maps.DeleteFunc(r.held, func(_ CallerHash, term *quarantineTerm) bool { return now.Sub(term.until) > maxRequestQuarantineTime })
		return len(r.held) == 0 && now.Sub(r.lastCrash) > crashRetention
	})
	maps.DeleteFunc(q.cleared, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > crashRetention })
}
