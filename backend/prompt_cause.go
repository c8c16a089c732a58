package backend

import (
	"maps"
	"slices"
	"time"
)

// engineCrash is a crash of an engine, and the requests that were in flight there.
type engineCrash struct {
	at          time.Time
	incarnation string // according to its row, which may lag behind
	explained   bool   // by a quarantine
	requests    map[string][]string
	parts       map[string]time.Time // suspected parts, and since when
}

// recordCrash returns the name of the quarantine that begins, if any.
func (q *PromptQuarantine) recordCrash(now time.Time, c PromptCrash) string {
	q.expire(now)
	crash := q.crash(c)
	crash.requests[c.RequestID] = c.Parts
	if q.longest(now, c.Parts) != nil {
		q.explain(crash)
	}
	if crash.explained {
		return ""
	}
	for _, part := range c.Parts {
		if _, ok := crash.parts[part]; !ok {
			crash.parts[part] = c.At
			q.suspects[part]++
		}
	}
	var cause []string
	for _, part := range c.Parts {
		if parts := q.findCause(part); len(parts) > len(cause) { // as few prompts as possible
			cause = parts
		}
	}
	if cause == nil {
		return ""
	}
	in := &quarantine{quarantineTerm: quarantineTerm{now.Add(quarantineTime), quarantineTime}, parts: cause}
	q.begin(in)
	for _, part := range cause {
		delete(q.cleared, part)
	}
	for _, crash := range q.crashes {
		if slices.ContainsFunc(slices.Collect(maps.Values(crash.requests)), in.holds) {
			q.explain(crash)
		}
	}
	return quarantineName(cause)
}

// crash returns the record of the crash that broke off a request. A request that was sent when
// the engine can have started again belongs to another crash, although its row shows the same
// incarnation. If there are too many records, the first is dropped.
func (q *PromptQuarantine) crash(c PromptCrash) *engineCrash {
	if q.suspects == nil {
		q.suspects = make(map[string]int)
	}
	sent := c.At.Add(-c.InFlight)
	for _, crash := range q.crashes {
		if crash.incarnation == c.Incarnation && sent.Before(crash.at.Add(engineRestartTime)) && crash.at.Before(c.At.Add(engineRestartTime)) {
			return crash
		}
	}
	if len(q.crashes) >= maxCrashes {
		q.explain(q.crashes[0])
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	crash := &engineCrash{at: c.At, incarnation: c.Incarnation, requests: make(map[string][]string), parts: make(map[string]time.Time)}
	q.crashes = append(q.crashes, crash)
	return crash
}

// explain drops the suspicions of a crash.
func (q *PromptQuarantine) explain(crash *engineCrash) {
	crash.explained = true
	for part := range crash.parts {
		q.drop(crash, part)
	}
}

func (q *PromptQuarantine) drop(crash *engineCrash, part string) {
	delete(crash.parts, part)
	if q.suspects[part]--; q.suspects[part] <= 0 {
		delete(q.suspects, part)
	}
}

// findCause returns the parts that all crashed requests with a part have and that are still
// suspected, if there are enough crashes apart from each other, or nil.
func (q *PromptQuarantine) findCause(part string) (common []string) {
	if q.suspects[part] < quarantineCrashes {
		return nil
	}
	var times []time.Time
	requests, incarnations := make(map[string][]string), make(map[string]bool)
	for _, crash := range q.crashes {
		at, ok := crash.parts[part]
		if !ok {
			continue
		}
		times = append(times, at)
		incarnations[crash.incarnation] = true
		for id, parts := range crash.requests {
			if slices.Contains(parts, part) {
				requests[id] = parts
			}
		}
	}
	if len(requests) < quarantineRequests || len(incarnations) < quarantineIncarnations || countApart(times) < quarantineCrashes {
		return nil
	}
	common = append(common, part)
	for other := range q.suspects {
		if other != part && q.suspects[other] >= q.suspects[part] && allHave(requests, other) {
			common = append(common, other)
		}
	}
	return common
}

func allHave(requests map[string][]string, part string) bool {
	for _, parts := range requests {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// countApart returns how many of the times are apart from each other.
func countApart(times []time.Time) (n int) {
	slices.SortFunc(times, time.Time.Compare)
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) > sameCrashTime {
			n, last = n+1, at
		}
	}
	return n
}
