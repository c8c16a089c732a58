package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// quarantineCrashes is the number of crashes, apart from each other, after which parts are
	// quarantined. A rarely used part can be in flight by chance at fewer.
	quarantineCrashes = 4
	// quarantineRequests is the number of different requests among them. One request crashes
	// several engines when it is retried.
	quarantineRequests = 2
	// quarantineIncarnations is the number of different incarnations of engines among them. One
	// that breaks off responses may be at fault itself.
	quarantineIncarnations = 2
	// engineRestartTime is the shortest time in which an engine is back after a crash.
	engineRestartTime = time.Second
	// sameCrashTime is the time within which crashes count as one: a failure of several
	// engines at once has a cause outside of the prompts.
	sameCrashTime = 50 * time.Millisecond
	// crashRetention is how long a crash without an answer to its parts is remembered.
	crashRetention = 5 * time.Minute
	// quarantineGrowth is the factor by which the time until the next test grows with each, up to
	// maxQuarantineTime.
	quarantineGrowth  = 4
	maxQuarantineTime = 4 * time.Hour
	// quarantineLapse is how long after its end a quarantine is kept that nobody tests.
	quarantineLapse = 2 * time.Minute
	// maxCrashes bounds the crashes that are remembered, maxQuarantines the quarantines.
	maxCrashes     = 256
	maxQuarantines = 256
)

// PromptQuarantine finds the parts that make prompts crash engines, and keeps prompts with them
// from being sent. A part is suspected if a request with it was in flight, without any
// response yet, when an engine crashed. A response to any request with a part clears it.
// Engines that crash for other reasons thus leave suspicions that the next responses clear.
//
// A quarantine is a set of parts: those that all requests had that crashed engines. It holds for
// prompts that have all of them. Responses to other prompts narrow the set to the part that is
// at fault.
//
// Nodes share what they see: each takes the events of the others with [PromptQuarantine.Record],
// and the quarantines with [PromptQuarantine.Learn]. The zero value is ready to use. It is safe
// for concurrent use.
type PromptQuarantine struct {
	// IsTrialNode, which is optional, reports whether this node is the one that sends the
	// request by which a quarantine is tested.
	IsTrialNode func(name string) bool

	mu          sync.Mutex
	crashes     []*engineCrash
	suspects    map[string]int         // number of crashes by part
	quarantines map[string]*quarantine // by name
	cleared     map[string]time.Time   // parts that were cleared, so that they are not learned again
	unshared    PromptEvents
}

// PromptCrash tells that an engine broke off a request before its response began.
type PromptCrash struct {
	At          time.Time // set by [PromptQuarantine.ObserveCrash]; the zero value in an event of another node means now
	Incarnation string    // of the engine; see [Server.Incarnation]
	RequestID   string
	Parts       []string      // of the prompt
	InFlight    time.Duration // from when the request was sent
}

// PromptEvents is what one node has seen.
type PromptEvents struct {
	Crashes []PromptCrash
	Cleared []string // suspected parts with a response
}

// IsEmpty reports whether there are no events.
func (e PromptEvents) IsEmpty() bool { return len(e.Crashes) == 0 && len(e.Cleared) == 0 }

// Quarantine is a set of parts that prompts must not have together.
type Quarantine struct {
	Parts  []string
	Left   time.Duration
	Length time.Duration
}

// Name returns the parts in order.
func (q Quarantine) Name() string { return quarantineName(q.Parts) }

func quarantineName(parts []string) string {
	return strings.Join(slices.Sorted(slices.Values(parts)), ",")
}

type quarantine struct {
	quarantineTerm
	parts []string
}

// holds reports whether a prompt with these parts must not be sent.
func (q *quarantine) holds(parts []string) bool {
	for _, part := range q.parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Admit decides about a request that has just arrived. If its prompt may not be sent, it
// returns how long the quarantine lasts. The request is a trial if it is the one by which
// the quarantine is tested; it must be sent once only.
func (q *PromptQuarantine) Admit(now time.Time, parts []string) (left time.Duration, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := q.longest(now, parts)
	if in == nil {
		return 0, false
	}
	isTrialNode := func() bool { return q.IsTrialNode == nil || q.IsTrialNode(quarantineName(in.parts)) }
	return in.admit(now, isTrialNode, quarantineGrowth, maxQuarantineTime)
}

// Left returns how long a prompt with these parts must not be sent, or 0.
func (q *PromptQuarantine) Left(now time.Time, parts []string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := q.longest(now, parts)
	if in == nil {
		return 0
	}
	return in.left(now)
}

// ObserveCrash records that an engine broke off a request before its response began, and
// returns the name of the quarantine that begins, or "".
func (q *PromptQuarantine) ObserveCrash(now time.Time, c PromptCrash) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(c.Parts) == 0 {
		return ""
	}
	c.At = now
	q.unshared.Crashes = append(q.unshared.Crashes, c)
	return q.recordCrash(now, c)
}

// ObserveResponse records that a response to a prompt with these parts has begun.
func (q *PromptQuarantine) ObserveResponse(now time.Time, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 && len(q.quarantines) == 0 {
		return
	}
	for _, part := range parts {
		if q.clear(now, part) {
			q.unshared.Cleared = append(q.unshared.Cleared, part)
		}
	}
}

// Record takes events of another node, and returns the names of the quarantines that begin.
func (q *PromptQuarantine) Record(now time.Time, e PromptEvents) (begun []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range e.Crashes {
		if c.At.IsZero() || c.At.After(now) {
			c.At = now
		}
		if name := q.recordCrash(now, c); name != "" {
			begun = append(begun, name)
		}
	}
	for _, part := range e.Cleared {
		q.clear(now, part)
	}
	// Many nodes have responses to a part at the same time; the message of one is enough.
	q.unshared.Cleared = slices.DeleteFunc(q.unshared.Cleared, func(part string) bool { return slices.Contains(e.Cleared, part) })
	return begun
}

// TakeEvents returns the events of this node that were not taken before.
func (q *PromptQuarantine) TakeEvents() PromptEvents {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.unshared
	q.unshared = PromptEvents{}
	return e
}

// Quarantines returns the quarantines that last.
func (q *PromptQuarantine) Quarantines(now time.Time) (list []Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, in := range q.quarantines {
		if in.until.After(now) {
			list = append(list, Quarantine{Parts: slices.Clone(in.parts), Left: in.until.Sub(now), Length: in.length})
		}
	}
	return list
}

// Learn takes the quarantines of another node, without parts that were cleared here.
func (q *PromptQuarantine) Learn(now time.Time, list []Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	for _, in := range list {
		parts := slices.DeleteFunc(slices.Clone(in.Parts), func(part string) bool { return !q.cleared[part].IsZero() })
		left, length := min(in.Left, maxQuarantineTime), min(max(in.Length, quarantineTime), maxQuarantineTime)
		if left <= 0 || len(parts) == 0 {
			continue
		}
		if known := q.quarantines[quarantineName(parts)]; known == nil || now.Add(left).After(known.until) {
			q.begin(&quarantine{quarantineTerm: quarantineTerm{now.Add(left), length}, parts: parts})
		}
	}
}

// The methods below must be called with q.mu held.

// longest returns the quarantine that holds for a prompt and lasts longest, or nil.
func (q *PromptQuarantine) longest(now time.Time, parts []string) (longest *quarantine) {
	if len(q.quarantines) == 0 {
		return nil
	}
	for _, in := range q.quarantines {
		if now.Sub(in.until) <= quarantineLapse && in.holds(parts) && (longest == nil || in.isLonger(&longest.quarantineTerm)) {
			longest = in
		}
	}
	return longest
}

func (q *PromptQuarantine) begin(in *quarantine) {
	if q.quarantines == nil {
		q.quarantines = make(map[string]*quarantine)
	}
	if len(q.quarantines) < maxQuarantines {
		q.quarantines[quarantineName(in.parts)] = in
	}
}

// clear removes a part that has a response from all suspicions and quarantines. It reports
// whether other nodes should know: one crash leaves many suspicions that end by themselves.
func (q *PromptQuarantine) clear(now time.Time, part string) (share bool) {
	if q.suspects[part] > 0 {
		share = q.suspects[part] > 1
		for _, crash := range q.crashes {
			if _, ok := crash.parts[part]; ok {
				q.drop(crash, part)
			}
		}
	}
	for name, in := range q.quarantines {
		if !slices.Contains(in.parts, part) {
			continue
		}
		share = true
		delete(q.quarantines, name)
		in.parts = slices.DeleteFunc(slices.Clone(in.parts), func(p string) bool { return p == part })
		if len(in.parts) > 0 {
			q.begin(in)
		}
	}
	if share {
		if q.cleared == nil {
			q.cleared = make(map[string]time.Time)
		}
		q.cleared[part] = now
	}
	return share
}

// expire deletes what is too old to count.
func (q *PromptQuarantine) expire(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(crash *engineCrash) bool {
		isOld := now.Sub(crash.at) > crashRetention
		if isOld {
			q.explain(crash)
		}
		return isOld
	})
	maps.DeleteFunc(q.quarantines, func(_ string, in *quarantine) bool { return now.Sub(in.until) > quarantineLapse })
	maps.DeleteFunc(q.cleared, func(_ string, at time.Time) bool { return now.Sub(at) > crashRetention })
}
