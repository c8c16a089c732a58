package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/vanilladrift/vanilladrift/table"
)

// session is the node's lease in the table.
type session struct {
	n *Node

	writing *semaphore.Weighted // held while the row is written
	row     table.Session
	version int64 // of the row; 0 before it was first written

	state   sync.Mutex // guards lease and leaving
	lease   table.Lease
	leaving bool
}

func newSession(n *Node) *session {
	return &session{
		n: n, writing: semaphore.NewWeighted(1),
		row: table.Session{
			Node: n.cfg.Name, Process: n.process, Epoch: 1, Address: n.cfg.Address,
			Region: n.cfg.Region, DataCenter: n.cfg.DataCenter,
		},
		lease: table.Lease{TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin},
	}
}

// valid reports whether the node may act on its ownership of engines.
func (s *session) valid(now time.Time) bool {
	s.state.Lock()
	defer s.state.Unlock()
	return s.lease.Valid(now)
}

// left returns how long the lease stays valid.
func (s *session) left(now time.Time) time.Duration {
	s.state.Lock()
	defer s.state.Unlock()
	return s.lease.Remaining(now)
}

func (s *session) leave() {
	s.state.Lock()
	s.leaving = true
	s.state.Unlock()
	s.renew(s.n.ctx)
}

func (s *session) isLeaving() bool {
	s.state.Lock()
	defer s.state.Unlock()
	return s.leaving
}

// renew writes the session row once. The lease counts from before the write
// that was confirmed; a write whose answer was lost is settled by reading back.
func (s *session) renew(ctx context.Context) {
	if s.writing.Acquire(ctx, 1) != nil {
		return // the node is closing
	}
	defer s.writing.Release(1)
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
		s.confirmed(next, ver, sent)
		if !s.n.tokensKnown.Load() {
			s.n.learnTokens(ctx)
		}
	case table.IsKind(err, table.Conflict), table.IsKind(err, table.Unknown):
		s.settle(ctx, next, sent)
	}
}

func (s *session) confirmed(row table.Session, ver int64, sent time.Time) {
	if s.row.Counter == 0 {
		s.n.log.Info("session registered", "epoch", row.Epoch, "row-version", ver)
	}
	s.row, s.version = row, ver
	s.state.Lock()
	s.lease.RecordRenewal(sent)
	s.state.Unlock()
}

// extend counts a lease that is still valid from the given time, because no
// other member may take the node's engines until then.
func (s *session) extend(sent time.Time) {
	s.state.Lock()
	defer s.state.Unlock()
	if s.lease.Valid(time.Now()) {
		s.lease.RecordRenewal(sent)
	}
}

// settle reads the row back after a renewal that failed or got no answer.
func (s *session) settle(ctx context.Context, next table.Session, sent time.Time) {
	row, err := s.n.table.Get(ctx, next.Key())
	if table.IsKind(err, table.NotFound) {
		s.fenced(table.Session{}, 0) // removed as lapsed, or by an operator
		return
	}
	if err != nil {
		return
	}
	now, err := table.DecodeSession(row)
	if err != nil {
		s.n.log.Error("session row cannot be read", "err", err)
		return
	}
	switch {
	case now == next:
		s.confirmed(next, row.Version, sent)
	case now.Process == next.Process && now.Epoch == next.Epoch && !now.Fenced:
		s.row, s.version = now, row.Version // an older renewal: try again next time
	default:
		s.fenced(now, row.Version)
	}
}

// fenced starts a new epoch after another node ended the session, or another
// process registered under the same name before.
func (s *session) fenced(row table.Session, ver int64) {
	held := s.row.Counter > 0
	s.state.Lock()
	s.lease.Invalidate()
	s.state.Unlock()
	s.n.tokensKnown.Store(false)
	if held {
		s.n.log.Warn("session was fenced", "epoch", s.row.Epoch)
		s.n.dropAll()
		s.row.Epoch++
	}
	s.row.Epoch = max(s.row.Epoch, row.Epoch)
	s.row.Counter, s.version = 0, ver
}

// end removes the row, so that the others need not wait for the lease.
func (s *session) end(ctx context.Context) {
	if s.writing.Acquire(ctx, 1) != nil {
		return
	}
	defer s.writing.Release(1)
	if s.version == 0 {
		return
	}
	_, err := s.n.table.Commit(ctx, table.Tx{
		Checks:  []table.Check{{Key: s.row.Key(), Version: s.version}},
		Deletes: []string{s.row.Key()},
	})
	if err != nil {
		s.n.log.Warn("session row was not removed", "err", err)
	}
	s.version = 0
}

// with runs f with the present row and a check that it is still in the table,
// while no renewal is under way. It reports false without a valid lease.
func (s *session) with(ctx context.Context, f func(row table.Session, check table.Check)) bool {
	if s.writing.Acquire(ctx, 1) != nil {
		return false
	}
	defer s.writing.Release(1)
	if !s.valid(time.Now()) {
		return false
	}
	f(s.row, table.Check{Key: s.row.Key(), Version: s.version})
	return true
}
