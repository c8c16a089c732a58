package node

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/table"
)

// extendLeaseByPeers extends the lease while the table cannot be reached, if every
// other member agrees not to take over this node's engines.
func (m *members) extendLeaseByPeers(ctx context.Context) {
	now := time.Now()
	left := m.n.session.leaseLeft(now)
	if left <= 0 || left > (m.n.cfg.LeaseTTL-m.n.cfg.LeaseMargin)/2 || len(m.n.ownedEngines()) == 0 {
		return
	}
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, other := range m.all() {
		if other.Process == m.n.process {
			continue
		}
		// A member whose session seems to have expired may have renewed it since, so it
		// must agree too. Only a process that has ended need not: its successor is in
		// contact with this node before it can take over anything.
		wg.Go(func() {
			resp, _, err := m.sendHeartbeat(ctx, other.Address, true)
			ended := errors.Is(err, syscall.ECONNREFUSED)
			if err != nil && !ended || err == nil && !resp.Msg.GetAgreed() {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
	if !refused.Load() {
		m.n.session.extendLease(now)
	}
}

// expiredSessionRetention is how long an expired session keeps its row: longer than an
// ordinary restart takes.
const expiredSessionRetention = 6 * time.Second

// removeExpiredSessions removes the rows of sessions that expired long ago, such as
// those of VMs that no longer exist. A single node, chosen by rendezvous hashing, does
// so for all.
func (m *members) removeExpiredSessions(ctx context.Context, now time.Time) {
	if !m.n.stickyOwnership() || m.preferredOwner("reaper", "") != m.n.cfg.Name {
		return
	}
	for _, other := range m.all() {
		m.mu.Lock()
		old := other.expired && m.monitor.UnchangedFor(other.Key(), now) > m.n.cfg.LeaseTTL+expiredSessionRetention
		m.mu.Unlock()
		if !old || !m.n.takeoverGuard.beginTakeover(other.Process, now) {
			continue
		}
		_, err := m.n.table.Commit(ctx, table.Tx{
			Checks:  []table.Check{{Key: other.Key(), Version: other.version}},
			Deletes: []string{other.Key()},
		})
		m.n.log.Info("removal of an expired session row finished", "of", other.Node, "process", other.Process, "err", err)
	}
}
