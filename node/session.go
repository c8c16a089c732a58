package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/vanilladrift/vanilladrift/table"
)

// session is the node's session row in the table and the lease that it backs.
type session struct {
	n *Node

	rowLock *semaphore.Weighted // held while the row is read or written
	row     table.Session
	version int64 // of the row; 0 before the first write

	mu      sync.Mutex // guards lease and leaving
	lease   table.Lease
	leaving bool
}

func newSession(n *Node) *session {
	return &session{
		n: n, rowLock: semaphore.NewWeighted(1),
		row: table.Session{
			Node: n.cfg.Name, Process: n.process, Epoch: 1, Address: n.cfg.Address,
			Region: n.cfg.Region, DataCenter: n.cfg.DataCenter,
		},
		lease: table.Lease{TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin},
	}
}

// leaseValid reports whether the node may act as the owner of its engines.
func (s *session) leaseValid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Valid(now)
}

// leaseLeft returns how long the lease remains valid.
func (s *session) leaseLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Remaining(now)
}

func (s *session) announceLeaving() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.renew(s.n.ctx)
}

func (s *session) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// renew writes the session row once. The lease counts from before the confirmed write
// was sent. If the write gets no response, the row is read to learn the outcome.
func (s *session) renew(ctx context.Context) {
	if s.rowLock.Acquire(ctx, 1) != nil {
		return // the node is closing
	}
	defer s.rowLock.Release(1)
	next := s.row
	next.Counter++
	next.Leaving = s.isLeaving()
	sent := time.Now()
	ver, err := s.n.table.Commit(ctx, table.Tx{
		Checks: []table.Check{{Key: next.Key(), Version: s.version}},
		Puts:   []table.Put{{Key: next.Key(), Value: next.Encode()}},
	})
	switch {
	case err == nil:
		s.recordRenewal(next, ver, sent)
		if !s.n.tokensKnown.Load() {
			s.n.readFencingTokens(ctx)
		}
	case table.IsKind(err, table.Conflict), table.IsKind(err, table.Unknown):
		s.readBack(ctx, next, sent)
	}
}

func (s *session) recordRenewal(row table.Session, ver int64, sent time.Time) {
	if s.row.Counter == 0 {
		s.n.log.Info("session registered", "epoch", row.Epoch, "row-version", ver)
	}
	s.row, s.version = row, ver
	s.mu.Lock()
	s.lease.RecordRenewal(sent)
	s.mu.Unlock()
}

// extendLease restarts the lease at sent, unless it has expired. The caller must have
// the agreement of every other member not to take over this node's engines.
func (s *session) extendLease(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.Valid(time.Now()) {
		s.lease.RecordRenewal(sent)
	}
}

// readBack reads the row after a renewal that conflicted or got no response.
func (s *session) readBack(ctx context.Context, next table.Session, sent time.Time) {
	row, err := s.n.table.Get(ctx, next.Key())
	if table.IsKind(err, table.NotFound) {
		s.startNewEpoch(table.Session{}, 0) // removed because it had expired, or by an operator
		return
	}
	if err != nil {
		return
	}
	current, err := table.DecodeSession(row)
	if err != nil {
		s.n.log.Error("cannot decode the session row; retrying with the next renewal", "err", err)
		return
	}
	switch {
	case current == next:
		s.recordRenewal(next, row.Version, sent)
	case current.Process == next.Process && current.Epoch == next.Epoch && !current.Fenced:
		s.row, s.version = current, row.Version // an earlier renewal was applied; retry with the next one
	default:
		s.startNewEpoch(current, row.Version)
	}
}

// startNewEpoch starts a new epoch after another node fenced the session, or after an
// earlier process of this node was found to hold the row.
func (s *session) startNewEpoch(row table.Session, ver int64) {
	registered := s.row.Counter > 0
	s.mu.Lock()
	s.lease.Invalidate()
	s.mu.Unlock()
	s.n.tokensKnown.Store(false)
	if registered {
		s.n.log.Warn("session was fenced", "epoch", s.row.Epoch)
		s.n.endAllOwnership()
		s.row.Epoch++
	}
	s.row.Epoch = max(s.row.Epoch, row.Epoch)
	s.row.Counter, s.version = 0, ver
}

// removeRow removes the session row, so that other nodes need not wait for the lease to
// expire.
func (s *session) removeRow(ctx context.Context) {
	if s.rowLock.Acquire(ctx, 1) != nil {
		return
	}
	defer s.rowLock.Release(1)
	if s.version == 0 {
		return
	}
	_, err := s.n.table.Commit(ctx, table.Tx{
		Checks:  []table.Check{{Key: s.row.Key(), Version: s.version}},
		Deletes: []string{s.row.Key()},
	})
	if err != nil {
		s.n.log.Warn("cannot remove the session row; other nodes wait until it expires", "err", err)
	}
	s.version = 0
}

// withRow calls f with the current row and a check of its version, while no renewal is
// in progress. It returns false without a valid lease.
func (s *session) withRow(ctx context.Context, f func(row table.Session, check table.Check)) bool {
	if s.rowLock.Acquire(ctx, 1) != nil {
		return false
	}
	defer s.rowLock.Release(1)
	if !s.leaseValid(time.Now()) {
		return false
	}
	f(s.row, table.Check{Key: s.row.Key(), Version: s.version})
	return true
}
