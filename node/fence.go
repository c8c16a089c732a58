package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/membership"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/table"
)

// fence ends the session of a member that has expired in the table, unless the member may
// still hold a lease by the consent of its witnesses. The local view then shows it as
// fenced. It returns true if a row had changed since the sessions were read.
func (m *members) fence(ctx context.Context, other member) (changed bool) {
	if m.witnessesMayBeLost(other) || other.fenceRefused || m.n.promises.HasContact(other.Process, time.Now()) {
		return false // it may have a lease, although it cannot reach the table
	}
	witnesses, check, ok := m.readWitnesses(ctx, other)
	if !ok {
		return false
	}
	if !m.outlastsExtensions(other) {
		promised := m.gatherPromises(ctx, other, witnesses)
		if !membership.MayReplace(witnesses, promised) {
			m.recordFenceRefused(other)
			m.n.log.Info("an expired session may still have a lease; retrying with the next poll", "of", other.Node,
				"process", other.Process, "witnesses", len(witnesses), "promised", len(promised))
			return false
		}
	}
	fenced := other.Session
	fenced.Fenced = true
	m.n.session.withRow(ctx, func(_ table.Session, self table.Check) {
		ver, err := m.n.table.Commit(ctx, table.Tx{
			Checks: []table.Check{self, check, {Key: other.Key(), Version: other.version, Generation: other.readIn}},
			Puts:   []table.Put{{Key: fenced.Key(), Value: fenced.Encode()}},
		})
		m.n.log.Info("fencing of an expired session finished", "of", other.Node, "process", other.Process, "err", err)
		if err == nil {
			m.recordFenced(fenced, ver, other.readIn)
			m.n.tasks.Go(func() { m.n.announceEnginesOf(m.n.ctx, fenced) })
		}
		changed = table.IsKind(err, table.Conflict)
	})
	return changed
}

// witnessesMayBeLost reports whether the row of a session is of before a restore, and later rows,
// which named other witnesses, may be lost while leases of that time are in use.
func (m *members) witnessesMayBeLost(other member) bool {
	return other.Generation < m.n.generations.Current() && !m.n.generations.Settled(time.Now())
}

// readWitnesses reads the witnesses of a member's session, and returns a check that they
// stay the same.
func (m *members) readWitnesses(ctx context.Context, other member) ([]table.Witness, table.Check, bool) {
	key := table.WitnessKey(other.Node)
	row, err := m.n.table.Get(ctx, key)
	if table.IsKind(err, table.NotFound) {
		return nil, table.Check{Key: key}, true
	}
	if err != nil {
		return nil, table.Check{}, false
	}
	check := table.Check{Key: key, Version: row.Version, Generation: row.Generation}
	w, err := table.DecodeWitnesses(row)
	if err != nil {
		m.n.log.Error("cannot decode a witness row; not replacing its node", "of", other.Node, "err", err)
		return nil, check, false
	}
	if w.Session != other.ID() {
		return nil, check, true // of an earlier session: this one has no witnesses yet
	}
	return w.List, check, true
}

// outlastsExtensions reports whether a session row has been unchanged for so long that its
// lease cannot have been extended until now.
func (m *members) outlastsExtensions(other member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.UnchangedFor(other.Key(), time.Now()) > maxExtension+m.n.leaseTime()
}

// gatherPromises asks the witnesses of a member to support its session no more. The
// result has those that promised and those whose own sessions ended a lease ago.
func (m *members) gatherPromises(ctx context.Context, other member, witnesses []table.Witness) map[string]bool {
	promised := make(map[string]bool)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, w := range witnesses {
		m.mu.Lock()
		ended := m.endedSessions.Ended(w.Session)
		m.mu.Unlock()
		wg.Go(func() {
			if ended || m.requestPromise(ctx, other, w) {
				mu.Lock()
				defer mu.Unlock()
				promised[w.Session] = true
			}
		})
	}
	wg.Wait()
	return promised
}

func (m *members) requestPromise(ctx context.Context, other member, w table.Witness) bool {
	if id, _ := m.n.session.identity(); id == w.Session {
		return m.n.promises.Promise(other.Process, other.readIn, other.version, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	resp, err := m.link(w.Address).client.Promise(ctx, connect.NewRequest(&peerpb.PromiseRequest{
		Process: other.Process, SessionVersion: other.version, Generation: other.readIn,
	}))
	return err == nil && resp.Msg.GetPromised() && resp.Msg.GetSession() == w.Session
}

// announceEnginesOf tells the next owners of a fenced session's engines, which otherwise learn
// of it with their next poll.
func (n *Node) announceEnginesOf(ctx context.Context, fenced table.Session) {
	rows, err := n.table.Scan(ctx, table.OwnerPrefix)
	if err != nil {
		n.log.Info("cannot tell the next owners of a fenced node's engines; they will find out", "of", fenced.Node, "err", err)
		return
	}
	for _, row := range rows {
		o, err := table.DecodeOwner(row)
		if err != nil {
			n.log.Error("cannot decode an ownership row; skipping it", "err", err)
			continue
		}
		b, ok := n.store.Tree().Backend(o.Engine)
		switch {
		case !ok || o.Node != fenced.Node || o.Process != fenced.Process:
		case n.members.preferredOwner(b.Name, b.DataCenter) == n.cfg.Name:
			n.takeOverReleased(b.Name)
		default:
			n.tasks.Go(func() { n.members.tellNextOwner(ctx, b) })
		}
	}
}

// recordFenced updates the local view after a member was fenced.
func (m *members) recordFenced(s table.Session, version, generation int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, mem := range m.list {
		if mem.Node == s.Node {
			m.list[i] = member{Session: s, version: version, readIn: generation, expired: true}
		}
	}
	m.monitor.Observe(s.Key(), version, time.Now())
}

// recordFenceRefused keeps the witnesses of a member from being asked again before the next
// poll.
func (m *members) recordFenceRefused(other member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, mem := range m.list {
		if mem.Node == other.Node {
			m.list[i].fenceRefused = true
		}
	}
}

// leaseTime is how long after its last extension a lease may be in use, by any clock.
func (n *Node) leaseTime() time.Duration { return n.cfg.LeaseTTL + n.cfg.LeaseMargin }
