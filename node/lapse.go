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

// holdLease keeps the lease alive by the consent of every other member while
// the table cannot be reached.
func (m *members) holdLease(ctx context.Context) {
	now := time.Now()
	left := m.n.session.left(now)
	if left <= 0 || left > (m.n.cfg.LeaseTTL-m.n.cfg.LeaseMargin)/2 || len(m.n.ownedEngines()) == 0 {
		return
	}
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, x := range m.all() {
		if x.Process == m.n.process {
			continue
		}
		// A member whose session looks lapsed may have renewed it since, so it is
		// asked as well. Only a process that has ended need not agree: the next one
		// hears this node before it may take anything.
		wg.Go(func() {
			resp, _, err := m.sendHeartbeat(ctx, x.Address, true)
			ended := errors.Is(err, syscall.ECONNREFUSED)
			if err != nil && !ended || err == nil && !resp.Msg.GetAgreed() {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
	if !refused.Load() {
		m.n.session.extend(now)
	}
}

// reapAfter is how long a session has lapsed before its row is removed: longer
// than an ordinary restart.
const reapAfter = 6 * time.Second

// reap removes the rows of sessions that lapsed long ago, such as those of VMs
// that are gone for good. One node does so for all.
func (m *members) reap(ctx context.Context, now time.Time) {
	if !m.n.keepsOwners() || m.wantedOwner("reaper", "") != m.n.cfg.Name {
		return
	}
	for _, x := range m.all() {
		m.mu.Lock()
		old := x.lapsed && m.watch.UnchangedFor(x.Key(), now) > m.n.cfg.LeaseTTL+reapAfter
		m.mu.Unlock()
		if !old || !m.n.consents.beginTaking(x.Process, now) {
			continue
		}
		_, err := m.n.table.Commit(ctx, table.Tx{
			Checks:  []table.Check{{Key: x.Key(), Version: x.version}},
			Deletes: []string{x.Key()},
		})
		m.n.log.Info("session removed", "of", x.Node, "process", x.Process, "err", err)
	}
}
