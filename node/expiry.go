package node

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/membership"
	"github.com/vanilladrift/vanilladrift/table"
)

// extendLeaseByWitnesses extends the lease between two renewals in the table, and while the
// table cannot be reached, if enough of this node's witnesses agree.
func (m *members) extendLeaseByWitnesses(ctx context.Context) {
	begun := m.n.bootNow()
	version, sets, ok := m.n.session.extensionTerms()
	if !ok || m.n.session.leaseLeft() > m.n.cfg.RenewEvery+m.n.cfg.RenewEvery/2 {
		return
	}
	addresses := make(map[string]string) // of the witnesses, by session
	for _, set := range sets {
		for _, w := range set {
			addresses[w.Session] = w.Address
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	round := &membership.Round{MinConsents: m.n.minConsents()}
	for session, address := range addresses {
		wg.Go(func() {
			resp, _, err := m.sendHeartbeat(ctx, address, version)
			if err == nil && resp.Msg.GetAgreed() && resp.Msg.GetSession() == session {
				mu.Lock()
				defer mu.Unlock()
				round.Add(session)
			}
		})
	}
	wg.Wait()
	m.n.session.extendLease(round, version, begun)
}

// minConsents is the number of witnesses without whose consent a lease cannot be extended.
func (n *Node) minConsents() int {
	if n.generations.Current() > 0 {
		return membership.MinConsentsAcrossRestores
	}
	return 1
}

// expiredSessionRetention is how long an expired session keeps its row: longer than an
// ordinary restart takes.
const expiredSessionRetention = 6 * time.Second

// removeExpiredSessions fences the sessions that have expired, and removes the rows of
// those that expired long ago, such as of VMs that no longer exist. A single node, chosen
// by rendezvous hashing, does so for all; the few nodes that found a member down fence
// it as well.
func (m *members) removeExpiredSessions(ctx context.Context, now time.Time) {
	if !m.n.stickyOwnership() {
		return
	}
	reaper := m.preferredOwner("reaper", "") == m.n.cfg.Name
	for _, other := range m.all() {
		if other.expired && !other.Fenced && (reaper || m.isDown(other.Address)) {
			m.fence(ctx, other)
			continue
		}
		if !reaper || !other.expired || !other.Fenced || m.witnessesMayBeLost(other) {
			continue
		}
		m.mu.Lock()
		old := m.monitor.UnchangedFor(other.Key(), now) > m.n.cfg.LeaseTTL+expiredSessionRetention
		m.mu.Unlock()
		if !old {
			continue
		}
		_, err := m.n.table.Commit(ctx, table.Tx{
			Checks:  []table.Check{{Key: other.Key(), Version: other.version, Generation: other.readIn}},
			Deletes: []string{other.Key(), table.WitnessKey(other.Node)},
		})
		m.n.log.Info("removal of an expired session row finished", "of", other.Node, "process", other.Process, "err", err)
	}
}
