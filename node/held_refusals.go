package node

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	// refusedAsksInterval is the mean time between two requests that an owner without processor time
	// refuses, over all nodes.
	refusedAsksInterval = 10 * time.Millisecond
	// recoveringAsksInterval is the mean time between two requests that the owner of an engine that
	// recovers refuses, over all nodes.
	recoveringAsksInterval = 2500 * time.Microsecond
	// maxHoldTime bounds how long a node holds a refusal, whatever the number of nodes.
	maxHoldTime = 2 * time.Second
	// headerHoldTime is the header of a refusal with the milliseconds for which the node that asked
	// holds it.
	headerHoldTime = "Vanilladrift-Hold-Ms"
)

// heldRefusal is an owner's refusal that holds for like work until a time.
type heldRefusal struct {
	owner   string
	refusal caller.Refusal
	until   time.Time
	maxWait time.Duration // see [engine.Work]
	left    time.Duration // until the deadline of the work that was refused

	// of the work that was refused, by cost
	priority     int
	targetLeft   time.Duration // until its target; 0 if it has none
	promptTokens int
}

// holdsFor reports whether the owner would refuse the work for the same reason.
func (h *heldRefusal) holdsFor(now time.Time, w *engine.Work) bool {
	if !now.Before(h.until) {
		return false
	}
	if h.refusal.ByCost && h.refusal.Reason != engine.Recovering && !h.holdsByCost(now, w) {
		return false
	}
	switch h.refusal.Reason {
	case engine.Overflow:
		return w.MaxWait > 0 && w.MaxWait <= h.maxWait
	case engine.DeadlineUnmet:
		return w.Deadline.Sub(now) <= h.left
	}
	return true
}

// holdsByCost reports whether the work costs callers no more than the work that was refused: it is not
// more urgent, its stream has not begun, it has no more time and its prompt is not much shorter.
func (h *heldRefusal) holdsByCost(now time.Time, w *engine.Work) bool {
	targetLeft := time.Duration(0)
	if !w.FirstTokenTarget.IsZero() {
		targetLeft = w.FirstTokenTarget.Sub(now)
	}
	switch {
	case w.Resumed, w.Priority < h.priority, w.PromptTokens < h.promptTokens/2:
		return false
	case h.refusal.Account != "" && w.Account != h.refusal.Account:
		return false
	}
	return h.targetLeft == 0 || targetLeft != 0 && targetLeft <= h.targetLeft
}

// heldRefusals holds the last refusals of engines, so that a node with many requests for an engine does
// not ask its owner for each of them. The zero value holds none.
type heldRefusals struct {
	mu       sync.Mutex
	byEngine map[string]heldRefusal
}

// hold records a refusal. It is held for the time that the owner states, and while the engine
// recovers at least for as long as a request waits anyway before it is sent again. A refusal that
// depends on the adapter is not held.
func (r *heldRefusals) hold(now time.Time, engineName, owner string, w *engine.Work, refusal caller.Refusal, stated time.Duration, nodes int) {
	d := stated
	switch refusal.Reason {
	case engine.Recovering:
		d = max(d, caller.OwnerChangeDelay, time.Duration(nodes)*recoveringAsksInterval)
	case engine.Overflow, engine.DeadlineUnmet, engine.QueueFull:
	default:
		return
	}
	if d = min(d, maxHoldTime); d <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEngine == nil {
		r.byEngine = make(map[string]heldRefusal)
	}
	h := heldRefusal{owner: owner, refusal: refusal, until: now.Add(d), maxWait: w.MaxWait, left: w.Deadline.Sub(now), priority: w.Priority, promptTokens: w.PromptTokens}
	if !w.FirstTokenTarget.IsZero() {
		h.targetLeft = w.FirstTokenTarget.Sub(now)
	}
	r.byEngine[engineName] = h
}

// get returns the refusal of an engine's owner that holds for work.
func (r *heldRefusals) get(now time.Time, engineName, owner string, w *engine.Work) (caller.Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.byEngine[engineName]
	if ok && !now.Before(h.until) {
		delete(r.byEngine, engineName)
	}
	return h.refusal, ok && h.owner == owner && h.holdsFor(now, w)
}

// statedHoldTime returns the hold time that the header of a refusal states, or 0.
func statedHoldTime(h http.Header) time.Duration {
	ms, err := strconv.Atoi(h.Get(headerHoldTime))
	if err != nil || ms < 0 {
		return 0 // stated only by owners without processor time
	}
	return time.Duration(ms) * time.Millisecond
}

// stateHoldTime sets the header of a refusal while this node has too little processor time.
// Otherwise the refused requests of all nodes would take what the node needs for its own, as it
// rejects only those of callers.
func (n *Node) stateHoldTime(h http.Header) {
	if n.cfg.IsOverloaded != nil && n.cfg.IsOverloaded(time.Now()) {
		d := min(maxHoldTime, time.Duration(n.LiveNodes())*refusedAsksInterval)
		h.Set(headerHoldTime, strconv.FormatInt(d.Milliseconds(), 10))
	}
}
