package node

import (
	"context"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// pollMembersIfDue reads the session rows, in a large system only every second time
// while no member is known to be down.
func (n *Node) pollMembersIfDue(ctx context.Context) {
	if !n.members.skipPoll() {
		n.pollMembers(ctx)
	}
}

// relaxedPollNodes is the number of nodes from which the session rows are read half as
// often. Each of so many nodes owns few engines, and the store's calls are shared.
const relaxedPollNodes = 60

func (m *members) skipPoll() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pollSkipped = !m.pollSkipped && len(m.candidates) >= relaxedPollNodes && !m.anyDown()
	return m.pollSkipped
}

// anyDown reports whether a member that has not ended does not respond. The caller holds
// m.mu.
func (m *members) anyDown() bool {
	for _, mem := range m.list {
		if l := m.links[mem.Address]; l != nil && l.isDown && mem.live() {
			return true
		}
	}
	return false
}

// pollMembers reads the session rows, then takes over or hands over engines. Another
// node may have fenced a dead owner since; the rows are then read again at once.
func (n *Node) pollMembers(ctx context.Context) {
	for range takeoverRounds {
		rows, err := n.table.Scan(ctx, table.SessionPrefix)
		if err != nil {
			n.members.recordReadFailure()
			return
		}
		n.members.update(rows, time.Now())
		n.members.removeExpiredSessions(ctx, time.Now())
		if !n.reconcileOwnership(ctx) {
			return
		}
	}
}

// announcementWindow is how long a node collects announcements of engines without an owner
// before it reads the sessions for all of them.
const announcementWindow = 20 * time.Millisecond

// pollMembersSoon reads the session rows after the announcement of an engine without an owner.
func (n *Node) pollMembersSoon() {
	if n.pollPending.Swap(true) {
		return
	}
	sleep(n.ctx, announcementWindow)
	n.pollPending.Store(false)
	n.pollMembers(n.ctx)
}

// takeoverRounds bounds the reads of the session rows in one poll.
const takeoverRounds = 2
