package node

import (
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// commandTimes is what a node knows of when commands reach an engine, its own and those of the owner before it.
// Consecutive ownerships of one engine by one node share it, whatever ended the former one: the session was
// fenced, or the table was restored. It is safe for concurrent use.
type commandTimes struct {
	mu sync.Mutex
	// noneUntil is until when the node sends nothing, since commands of another node may be recent.
	noneUntil time.Time
	// firstEnd is when the first command ended since another node owned the engine, and zero before that. After an
	// earlier process of the node it is the latest time that is possible.
	firstEnd time.Time
	// arrivalsUntil is until when commands without a response may arrive.
	arrivalsUntil time.Time

	// lateLoads has the loads without a reply of this node, and those that owners before handed on.
	lateLoads engine.LateLoads
	// lateLoadsKnown is set if the owner before handed on all of them.
	lateLoadsKnown bool
}

func (c *commandTimes) waitUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.After(c.noneUntil) {
		c.noneUntil = t
	}
}

func (c *commandTimes) maySend(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.noneUntil)
}

// noneLeft returns for how long the node sends nothing yet.
func (c *commandTimes) noneLeft() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.noneUntil))
}

func (c *commandTimes) ended(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstEnd.IsZero() {
		c.firstEnd = now
	}
}

func (c *commandTimes) unanswered(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivalsUntil = until
}

// handoverDelay returns for how long after a release the next owner sends no commands. The gap between
// VMs that alternate counts from the first command here; without one, the delay after the former owner goes
// on. After a command without a response the next owner waits for the bound of its arrival once more, since
// an engine may read late what has arrived in time.
func (c *commandTimes) handoverDelay(gap, arrivalBound time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := max(0, time.Until(c.noneUntil), time.Until(c.arrivalsUntil.Add(arrivalBound)))
	if !c.firstEnd.IsZero() {
		delay = max(delay, time.Until(c.firstEnd.Add(gap)))
	}
	return delay
}

// commandTimesOf returns the times of this node's last ownership of an engine.
func (n *Node) commandTimesOf(engineName string) *commandTimes {
	n.mu.Lock()
	defer n.mu.Unlock()
	times := n.commandTimes[engineName]
	if times == nil {
		times = &commandTimes{}
		n.commandTimes[engineName] = times
	}
	return times
}

// continueCommandTimes prepares the times for an ownership that begins. isAgain is set if no other node has owned the
// engine since this node or an earlier process of it did. areLoadsKnown is set if the owner before released the
// engine and knew its late loads. It returns whether they are known.
func (n *Node) continueCommandTimes(engineName string, isAgain, areLoadsKnown bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !isAgain:
		n.commandTimes[engineName] = &commandTimes{lateLoadsKnown: areLoadsKnown}
	case n.commandTimes[engineName] == nil:
		n.commandTimes[engineName] = &commandTimes{firstEnd: n.created}
	}
	return n.commandTimes[engineName].lateLoadsKnown
}
