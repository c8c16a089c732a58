package backend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineCrashes is the number of crashes, apart from each other, after which a part is
	// quarantined. A rarely used part can be in flight by chance at fewer.
	quarantineCrashes = 4
	// quarantineRequests is the number of different requests among them. One request crashes
	// several engines when it is retried.
	quarantineRequests = 2
	// sameCrashTime is the time within which crashes count as one: a failure of several
	// engines at once has a cause outside of the prompts.
	sameCrashTime = 250 * time.Millisecond
	// crashRetention is how long a crash without an answer to its parts is remembered.
	crashRetention = 5 * time.Minute
	// quarantineTime is the time until a part is tried again. It doubles with each trial
	// that crashes an engine, up to maxQuarantineTime.
	quarantineTime    = time.Minute
	maxQuarantineTime = 16 * time.Minute
	// trialTime is how long a trial may take to begin its response.
	trialTime = 10 * time.Second
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 256
)

// PromptQuarantine finds the part that makes prompts crash engines, and keeps prompts with it
// from being sent. A part is suspected if a request with it was in flight, without any
// response yet, when an engine crashed. A response to any request with a part clears it.
// Engines that crash for other reasons thus leave suspicions that the next responses clear.
//
// Nodes share what they see: each takes the events of the others with [PromptQuarantine.Record],
// and the quarantines with [PromptQuarantine.Learn]. The zero value is ready to use. It is safe
// for concurrent use.
type PromptQuarantine struct {
	// IsTrialNode, which is optional, reports whether this node is the one that sends the
	// request by which a part is tried again.
	IsTrialNode func(part string) bool

	mu          sync.Mutex
	crashes     map[string]*engineCrash // by incarnation
	arrivals    partCounter
	quarantined map[string]quarantine // by part
	cleared     map[string]time.Time  // parts that left quarantine, so that it is not learned again
	unshared    PromptEvents
}

// PromptCrash tells that an engine broke off a request before its response began.
type PromptCrash struct {
	Incarnation string // of the engine; see [Server.Incarnation]
	RequestID   string
	Parts       []string // of the prompt
}

// PromptEvents is what one node has seen.
type PromptEvents struct {
	Crashes []PromptCrash
	Cleared []string // suspected parts with a response
}

// IsEmpty reports whether there are no events.
func (e PromptEvents) IsEmpty() bool { return len(e.Crashes) == 0 && len(e.Cleared) == 0 }

// QuarantinedPart is a part that is in quarantine.
type QuarantinedPart struct {
	Part   string
	Left   time.Duration
	Length time.Duration
}

type engineCrash struct {
	at    time.Time
	parts map[string]map[string]bool // suspected parts, with the IDs of their requests
}

type quarantine struct {
	until  time.Time
	length time.Duration
}

// Admit decides about a request that has just arrived. If its prompt may not be sent, it
// returns how long the quarantine lasts. The request is a trial if it is the one by which
// a part is tried again.
func (q *PromptQuarantine) Admit(now time.Time, parts []string) (left time.Duration, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals.add(now, parts)
	part, left := q.longest(now, parts)
	if part == "" || left > 0 {
		return left, false
	}
	if q.IsTrialNode != nil && !q.IsTrialNode(part) {
		return trialTime, false
	}
	q.set(part, quarantine{until: now.Add(trialTime), length: q.quarantined[part].length})
	return 0, true
}

// Left returns how long a prompt with these parts must not be sent, or 0.
func (q *PromptQuarantine) Left(now time.Time, parts []string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, left := q.longest(now, parts)
	return left
}

// ObserveCrash records that an engine broke off a request before its response began, and
// returns the part that is quarantined for it, or "".
func (q *PromptQuarantine) ObserveCrash(now time.Time, c PromptCrash) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(c.Parts) == 0 {
		return ""
	}
	q.unshared.Crashes = append(q.unshared.Crashes, c)
	return q.recordCrash(now, c)
}

// ObserveResponse records that a response to a prompt with these parts has begun.
func (q *PromptQuarantine) ObserveResponse(now time.Time, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes) == 0 && len(q.quarantined) == 0 {
		return
	}
	for _, part := range parts {
		if q.clear(now, part) {
			q.unshared.Cleared = append(q.unshared.Cleared, part)
		}
	}
}

// Record takes events of another node, and returns the parts that are quarantined for them.
func (q *PromptQuarantine) Record(now time.Time, e PromptEvents) (quarantined []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range e.Crashes {
		if part := q.recordCrash(now, c); part != "" {
			quarantined = append(quarantined, part)
		}
	}
	for _, part := range e.Cleared {
		q.clear(now, part)
	}
	return quarantined
}

// TakeEvents returns the events of this node that were not taken before.
func (q *PromptQuarantine) TakeEvents() PromptEvents {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.unshared
	q.unshared = PromptEvents{}
	return e
}

// Quarantined returns the parts that are in quarantine.
func (q *PromptQuarantine) Quarantined(now time.Time) (list []QuarantinedPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for part, in := range q.quarantined {
		list = append(list, QuarantinedPart{Part: part, Left: max(0, in.until.Sub(now)), Length: in.length})
	}
	return list
}

// Learn takes the quarantines of another node.
func (q *PromptQuarantine) Learn(now time.Time, list []QuarantinedPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, in := range list {
		at, wasCleared := q.cleared[in.Part]
		if wasCleared && now.Sub(at) < crashRetention {
			continue
		}
		left, length := min(in.Left, maxQuarantineTime), min(max(in.Length, quarantineTime), maxQuarantineTime)
		if until := now.Add(left); until.After(q.quarantined[in.Part].until) {
			q.set(in.Part, quarantine{until: until, length: length})
		}
	}
}

// The methods below must be called with q.mu held.

// longest returns the part whose quarantine lasts longest, and for how long.
func (q *PromptQuarantine) longest(now time.Time, parts []string) (worst string, left time.Duration) {
	for _, part := range parts {
		in, ok := q.quarantined[part]
		if l := max(0, in.until.Sub(now)); ok && (worst == "" || l > left) {
			worst, left = part, l
		}
	}
	return worst, left
}

func (q *PromptQuarantine) set(part string, in quarantine) {
	if q.quarantined == nil {
		q.quarantined = make(map[string]quarantine)
	}
	q.quarantined[part] = in
}

// recordCrash returns the part that is quarantined, if any.
func (q *PromptQuarantine) recordCrash(now time.Time, c PromptCrash) string {
	q.expire(now)
	if q.crashes == nil {
		q.crashes = make(map[string]*engineCrash)
	}
	crash := q.crashes[c.Incarnation]
	if crash == nil {
		if len(q.crashes) >= maxCrashes {
			return ""
		}
		crash = &engineCrash{at: now, parts: make(map[string]map[string]bool)}
		q.crashes[c.Incarnation] = crash
	}
	for _, part := range c.Parts {
		if crash.parts[part] == nil {
			crash.parts[part] = make(map[string]bool)
		}
		crash.parts[part][c.RequestID] = true
	}
	for _, part := range c.Parts {
		if in, ok := q.quarantined[part]; ok && !now.Before(in.until.Add(-trialTime)) { // a trial
			in.length = min(2*in.length, maxQuarantineTime)
			q.set(part, quarantine{until: now.Add(in.length), length: in.length})
		}
	}
	worst := q.worstPart(c.Parts)
	if worst != "" {
		q.set(worst, quarantine{until: now.Add(quarantineTime), length: quarantineTime})
		delete(q.cleared, worst)
	}
	q.acquit(now)
	return worst
}

// acquit ends the quarantine of parts whose crashes another part explains.
func (q *PromptQuarantine) acquit(now time.Time) {
	for part := range q.quarantined {
		if q.crashesWith(part) >= quarantineCrashes && q.countCrashes(part) < quarantineCrashes {
			q.clear(now, part)
			q.unshared.Cleared = append(q.unshared.Cleared, part)
		}
	}
}

// worstPart returns the part that has crashed enough engines and is not in quarantine, or
// "". Of several it is the one with the most crashes, and of these the one that the
// fewest requests have.
func (q *PromptQuarantine) worstPart(parts []string) string {
	worst, worstCrashes := "", 0
	for _, part := range parts {
		if _, ok := q.quarantined[part]; ok {
			continue
		}
		n := q.countCrashes(part)
		if n > worstCrashes || n == worstCrashes && q.arrivals.count(part) < q.arrivals.count(worst) {
			worst, worstCrashes = part, n
		}
	}
	if worstCrashes < quarantineCrashes {
		return ""
	}
	return worst
}

// crashesWith returns the number of crashes with a part.
func (q *PromptQuarantine) crashesWith(part string) (n int) {
	for _, crash := range q.crashes {
		if crash.parts[part] != nil {
			n++
		}
	}
	return n
}

// isExplained reports whether another part, which is in quarantine and has more crashes,
// explains a crash.
func (q *PromptQuarantine) isExplained(crash *engineCrash, part string, crashesWith int) bool {
	for other := range q.quarantined {
		if other != part && crash.parts[other] != nil && q.crashesWith(other) > crashesWith {
			return true
		}
	}
	return false
}

// countCrashes returns the number of crashes of a part that are apart from each other, or 0
// if too few requests had it.
func (q *PromptQuarantine) countCrashes(part string) (n int) {
	var times []time.Time
	requests := make(map[string]bool)
	all := q.crashesWith(part)
	for _, crash := range q.crashes {
		if ids := crash.parts[part]; ids != nil && !q.isExplained(crash, part, all) {
			times = append(times, crash.at)
			maps.Copy(requests, ids)
		}
	}
	if len(requests) < quarantineRequests {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) > sameCrashTime {
			n, last = n+1, at
		}
	}
	return n
}

// clear reports whether the part was suspected or in quarantine.
func (q *PromptQuarantine) clear(now time.Time, part string) (suspected bool) {
	if _, ok := q.quarantined[part]; ok {
		delete(q.quarantined, part)
		if q.cleared == nil {
			q.cleared = make(map[string]time.Time)
		}
		q.cleared[part] = now
		suspected = true
	}
	for incarnation, crash := range q.crashes {
		if crash.parts[part] == nil {
			continue
		}
		suspected = true
		delete(crash.parts, part)
		if len(crash.parts) == 0 {
			delete(q.crashes, incarnation)
		}
	}
	return suspected
}

// expire deletes what is too old to count.
func (q *PromptQuarantine) expire(now time.Time) {
	maps.DeleteFunc(q.crashes, func(_ string, crash *engineCrash) bool { return now.Sub(crash.at) > crashRetention })
	maps.DeleteFunc(q.cleared, func(_ string, at time.Time) bool { return now.Sub(at) > crashRetention })
}

// partCounter counts how many of the recent requests have a part.
type partCounter struct {
	start             time.Time
	current, previous map[string]int
}

// countedTime is the time that a partCounter counts in, twice, and maxCountedParts the
// number of parts.
const (
	countedTime     = 10 * time.Second
	maxCountedParts = 8192
)

func (c *partCounter) add(now time.Time, parts []string) {
	if c.current == nil || now.Sub(c.start) > countedTime || len(c.current) > maxCountedParts {
		c.previous, c.current, c.start = c.current, make(map[string]int), now
	}
	for _, part := range parts {
		c.current[part]++
	}
}

func (c *partCounter) count(part string) int { return c.current[part] + c.previous[part] }
