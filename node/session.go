package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/vanilladrift/vanilladrift/membership"
	"github.com/vanilladrift/vanilladrift/table"
)

// session is the node's session row in the table and the lease that it backs.
type session struct {
	n *Node

	rowLock    *semaphore.Weighted // held while the rows are read or written
	row        table.Session
	version    int64     // of the row; 0 before the first write
	attempts   int64     // writes of the row so far
	generation int64     // of the table, in which the version was read; also guarded by mu
	registered time.Time // when a write of the row was first known to be applied; zero before
	// witnesses is the last confirmed witness row; witnessesKnown is false while a write
	// of it got no response.
	witnesses      []table.Witness
	witnessesKnown bool

	mu      sync.Mutex // guards the fields below
	lease   table.Lease
	leaving bool
	ended   bool      // the row is being removed; there is no lease from then on
	id      string    // of the session; see [table.Session.ID]
	renewed time.Time // when the last confirmed renewal was sent, by the node's bootNow
	// confirmed is the version of the session row by the last confirmed renewal. possibleSets
	// holds the witnesses of that renewal, and those of later writes without a
	// response.
	confirmed    int64
	possibleSets [][]table.Witness
}

// maxExtension is how long after its last confirmed renewal a lease can be extended by
// witnesses. It bounds how long engines have no owner after most witnesses of their owner
// ended together with it.
const maxExtension = time.Minute

// maxRestoreLoss is how old the copy may be from which a table is restored.
const maxRestoreLoss = 15 * time.Second

func newSession(n *Node) *session {
	s := &session{
		n: n, rowLock: semaphore.NewWeighted(1), witnessesKnown: true,
		row: table.Session{
			Node: n.cfg.Name, Process: n.process, Epoch: 1, Address: n.cfg.Address,
			Region: n.cfg.Region, DataCenter: n.cfg.DataCenter,
		},
		lease: table.Lease{TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin},
	}
	s.id = s.row.ID()
	return s
}

// leaseValid reports whether the node may act as the owner of its engines.
func (s *session) leaseValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Valid(s.n.bootNow())
}

// leaseLeft returns how long the lease remains valid.
func (s *session) leaseLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Remaining(s.n.bootNow())
}

func (s *session) announceLeaving(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.renew(ctx)
}

// end ends the lease for good: the node sends no commands that need it and gives no consent as a
// witness, also if a renewal that is under way succeeds.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.lease.Invalidate()
}

func (s *session) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

func (s *session) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// renewIfDue renews the session, unless its lease was extended by its witnesses and there
// is nothing else to write.
func (s *session) renewIfDue(ctx context.Context) {
	if s.renewalDue() {
		s.renew(ctx)
	}
}

func (s *session) renewalDue() bool {
	now := s.n.bootNow()
	candidates := s.n.members.witnessCandidates()
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := s.n.cfg
	switch {
	case cfg.TableRenewEvery <= cfg.RenewEvery, now.Sub(s.renewed) >= cfg.TableRenewEvery-cfg.RenewEvery/2:
		return true
	case s.leaving, len(s.possibleSets) != 1, len(s.possibleSets[0]) < s.n.minConsents():
		return true
	case membership.CanGrow(s.possibleSets[0], candidates):
		return true // an owner that ends together with its few witnesses cannot be replaced soon
	}
	// The witnesses were asked with more than a renewal interval left.
	return s.lease.Remaining(now) < cfg.RenewEvery
}

// renew writes the session row once. The lease counts from before the confirmed write
// was sent. If the write gets no response, the row is read to learn the outcome.
func (s *session) renew(ctx context.Context) {
	if s.rowLock.Acquire(ctx, 1) != nil {
		return // the node is closing
	}
	defer s.rowLock.Release(1)
	if s.hasEnded() {
		return
	}
	if s.row.Counter == 0 {
		s.setGeneration(s.n.generations.Current())
	}
	next := s.row
	// Every attempt has other contents, so that reading the row tells which one was applied.
	s.attempts++
	next.Counter = s.attempts
	next.Leaving, next.Generation = s.isLeaving(), s.generation
	next.Established = s.isEstablished(time.Now())
	tx := table.Tx{
		Checks: []table.Check{s.check()},
		Puts:   []table.Put{{Key: next.Key(), Value: next.Encode()}},
	}
	witnesses := membership.Choose(next.Node, s.witnesses, s.n.members.witnessCandidates())
	if !s.witnessesKnown || !slices.Equal(witnesses, s.witnesses) {
		row := table.Witnesses{Node: next.Node, Session: next.ID(), List: witnesses}
		tx.Puts = append(tx.Puts, table.Put{Key: table.WitnessKey(next.Node), Value: row.Encode()})
		s.beginWitnessWrite(witnesses)
	}
	sent := s.n.bootNow()
	ver, err := s.n.table.Commit(ctx, tx)
	switch {
	case err == nil && s.generation != s.n.generations.Current():
		// Its response was the first to state a generation: register again in that.
	case err == nil:
		s.recordRenewal(next, witnesses, ver, sent)
		if !s.n.tokensKnown.Load() {
			s.n.readFencingTokens(ctx)
		}
	case table.IsKind(err, table.Conflict), table.IsKind(err, table.Unknown), table.IsKind(err, table.Restored):
		s.readBack(ctx, next, witnesses, sent)
	}
}

// isEstablished reports whether the session was in a table that may be restored for so long
// that a copy lists it. The caller holds rowLock.
func (s *session) isEstablished(now time.Time) bool {
	return s.generation > 0 && !s.registered.IsZero() && now.Sub(s.registered) > maxRestoreLoss
}

// check returns a check that the session row is as last known. The caller holds rowLock.
func (s *session) check() table.Check {
	return table.Check{Key: s.row.Key(), Version: s.version, Generation: s.generation}
}

// setGeneration sets the generation of a session that is not registered in the table yet.
// The caller holds rowLock.
func (s *session) setGeneration(generation int64) {
	if s.generation == generation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation, s.version = generation, 0
}

// beginWitnessWrite records that the witnesses are about to be written. Until the
// write is confirmed, either set may be in force.
func (s *session) beginWitnessWrite(set []table.Witness) {
	s.witnessesKnown = false
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.ContainsFunc(s.possibleSets, func(other []table.Witness) bool { return slices.Equal(set, other) }) {
		s.possibleSets = append(s.possibleSets, set)
	}
}

func (s *session) recordRenewal(row table.Session, witnesses []table.Witness, ver int64, sent time.Time) {
	if s.registered.IsZero() {
		s.registered = time.Now()
		s.n.log.Info("session registered", "epoch", row.Epoch, "row-version", ver)
	}
	s.row, s.version = row, ver
	s.witnesses, s.witnessesKnown = witnesses, true
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.lease.RecordRenewal(sent)
	}
	s.renewed, s.confirmed, s.possibleSets = sent, ver, [][]table.Witness{witnesses}
}

// extensionTerms returns the version of the confirmed session row and the possible sets of
// witnesses, or false if the lease cannot be extended.
func (s *session) extensionTerms() (version int64, sets [][]table.Witness, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.n.bootNow()
	ok = s.lease.Valid(now) && now.Sub(s.renewed) < maxExtension && s.generation == s.n.generations.Current()
	return s.confirmed, slices.Clone(s.possibleSets), ok
}

// extendLease restarts the lease at sent, when the round began, if enough witnesses have
// agreed and the lease has not expired. The sets of witnesses may have changed
// during the round.
func (s *session) extendLease(round *membership.Round, version int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.Valid(s.n.bootNow()) && s.confirmed == version && s.generation == s.n.generations.Current() && round.Enough(s.possibleSets) {
		s.lease.RecordRenewal(sent)
	}
}

// identity returns the ID of the session, and whether its lease is valid.
func (s *session) identity() (id string, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.lease.Valid(s.n.bootNow())
}

// readBack reads the row after a renewal that conflicted or got no response.
func (s *session) readBack(ctx context.Context, next table.Session, witnesses []table.Witness, sent time.Time) {
	row, err := s.n.table.Get(ctx, next.Key())
	if s.generation != s.n.generations.Current() {
		return // the session is registered again in the current generation
	}
	if table.IsKind(err, table.NotFound) {
		s.startNewEpoch(table.Session{}, 0) // removed because it had expired, or by an operator
		return
	}
	if err != nil || row.Generation != s.generation {
		return
	}
	current, err := table.DecodeSession(row)
	if err != nil {
		s.n.log.Error("cannot decode the session row; retrying with the next renewal", "err", err)
		return
	}
	switch {
	case current == next:
		s.recordRenewal(next, witnesses, row.Version, sent)
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
		if s.generation == s.n.generations.Current() {
			s.n.log.Warn("session was fenced", "epoch", s.row.Epoch)
		}
		s.n.endAllOwnership()
		s.row.Epoch++
	}
	s.row.Epoch = max(s.row.Epoch, row.Epoch)
	s.row.Counter, s.version, s.registered = 0, ver, time.Time{}
	s.witnesses, s.witnessesKnown = nil, false // the row is that of an earlier session
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.possibleSets = s.row.ID(), nil
}

// restart ends a session that was registered in an earlier generation of the table, with
// the ownership of all engines. It returns those that it owned until now under a valid lease.
func (s *session) restart(ctx context.Context, generation int64) (claims map[string]bool, registered bool) {
	if s.rowLock.Acquire(ctx, 1) != nil {
		return nil, false
	}
	defer s.rowLock.Release(1)
	if s.row.Counter == 0 || s.generation >= generation {
		return nil, false
	}
	if s.leaseValid() {
		claims = s.n.claimableEngines()
	}
	s.startNewEpoch(table.Session{}, 0)
	s.setGeneration(generation)
	return claims, true
}

// removeRow ends the session and removes its row, so that other nodes need not wait for the lease
// to expire. They take over at once what ownership rows still name as this node's, so the row
// stays if commands are in flight when ctx ends.
func (s *session) removeRow(ctx context.Context) {
	s.end()
	if s.rowLock.Acquire(ctx, 1) != nil {
		s.n.log.Warn("the session row is in use; not removing it, other nodes wait until it expires")
		return
	}
	defer s.rowLock.Release(1)
	s.n.endAllOwnership() // no takeover is in progress while the lock is held
	if !s.n.awaitFormerCommands(ctx) {
		s.n.log.Warn("commands are in flight; not removing the session row, other nodes wait until it expires")
		return
	}
	if s.version == 0 {
		return
	}
	_, err := s.n.table.Commit(ctx, table.Tx{
		Checks:  []table.Check{s.check()},
		Deletes: []string{s.row.Key(), table.WitnessKey(s.row.Node)},
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
	if !s.leaseValid() || s.generation != s.n.generations.Current() {
		return false
	}
	f(s.row, s.check())
	return true
}
