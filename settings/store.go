package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/table"
)

// Keys of the settings rows in the table.
const (
	headKey   = "settings/head"
	logPrefix = "settings/log/"
	idPrefix  = "settings/id/"
	docPrefix = "settings/doc/"
)

const (
	logPageSize      = 500
	maxRecentChanges = 1000 // number of changes kept in memory for peers
	maxApplyAttempts = 50
	applyRetryDelay  = 5 * time.Millisecond
)

// Store keeps the settings tree up to date with the table. It is safe for concurrent
// use; reading the tree takes no lock.
type Store struct {
	Table *table.Client
	// OnChange, if set, is called after the tree changed to a later revision, with
	// the store's mutex held.
	OnChange func(t *Tree)

	mu            sync.Mutex // held while the tree is replaced
	tree          atomic.Pointer[Tree]
	recentChanges []Change
}

// Tree returns the current tree.
func (s *Store) Tree() *Tree {
	if t := s.tree.Load(); t != nil {
		return t
	}
	return New()
}

func logKey(rev int64) string { return fmt.Sprintf("%s%016d", logPrefix, rev) }

func docKey(d Document) string { return docPrefix + string(d.Kind) + "/" + d.Name }

// Apply writes an edit to the table and returns the change. If the outcome of a
// transaction is unknown, Apply looks up the edit's ID and otherwise retries under
// the same ID. It returns an error of kind [Unknown] only if the table stays
// unreachable.
func (s *Store) Apply(ctx context.Context, e Edit, now time.Time) (Change, error) {
	const op = "apply"
	if e.ID == "" || len(e.ID) > maxNameBytes {
		return Change{}, invalid(op, "", "id", "the id must have 1 to %d bytes", maxNameBytes)
	}
	mayBeAccepted := false
	for range maxApplyAttempts {
		c, err := s.attemptApply(ctx, e, now)
		switch {
		case err == nil:
			return c, nil
		case table.IsKind(err, table.Unknown):
			mayBeAccepted = true
		case table.IsKind(err, table.Conflict):
		case table.IsKind(err, table.Unavailable) && !mayBeAccepted:
			return Change{}, &Error{Op: op, Kind: Unavailable, Err: err}
		case table.IsKind(err, table.Unavailable):
		default:
			return Change{}, err
		}
		select {
		case <-ctx.Done():
			return Change{}, s.applyError(op, mayBeAccepted, ctx.Err())
		case <-time.After(applyRetryDelay):
		}
	}
	return Change{}, s.applyError(op, mayBeAccepted, errors.New("too many attempts"))
}

func (s *Store) applyError(op string, mayBeAccepted bool, err error) error {
	kind := Unavailable
	if mayBeAccepted {
		kind = Unknown
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

func (s *Store) attemptApply(ctx context.Context, e Edit, now time.Time) (Change, error) {
	if c, ok, err := s.findAccepted(ctx, e); ok || err != nil {
		return c, err
	}
	head, headVersion, err := s.readHead(ctx)
	if err != nil {
		return Change{}, err
	}
	if err := s.advanceTo(ctx, head); err != nil {
		return Change{}, err
	}
	tree := s.Tree()
	if tree.Rev() != head {
		return Change{}, &table.Error{Op: "apply", Kind: table.Conflict, Key: headKey}
	}
	doc, err := tree.Edit(e)
	if err != nil {
		return Change{}, err
	}
	old, _ := tree.Doc(e.Kind, e.Name)
	doc.Rev = head + 1
	c := Change{Rev: doc.Rev, ID: e.ID, Who: e.Who, Why: e.Why, When: now.UTC(), Old: old.Fields, Doc: doc}
	if _, err := s.Table.Commit(ctx, changeTx(c, headVersion)); err != nil {
		return Change{}, err
	}
	return c, s.Install([]Change{c})
}

// findAccepted returns the change of an edit that was accepted before under the same
// ID, if any.
func (s *Store) findAccepted(ctx context.Context, e Edit) (Change, bool, error) {
	row, err := s.Table.Get(ctx, idPrefix+e.ID)
	if table.IsKind(err, table.NotFound) {
		return Change{}, false, nil
	}
	if err != nil {
		return Change{}, false, err
	}
	rev, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return Change{}, false, &Error{Op: "apply", Kind: Invalid, Doc: row.Key, Err: err}
	}
	c, err := s.readChange(ctx, rev)
	if err != nil {
		return Change{}, false, err
	}
	if c.Doc.Kind != e.Kind || c.Doc.Name != e.Name {
		return Change{}, false, &Error{Op: "apply", Kind: Conflict, Doc: c.Doc.ID(), Field: "id", Reason: "the id was already used for another edit"}
	}
	return c, true, nil
}

func changeTx(c Change, headVersion int64) table.Tx {
	rev := []byte(strconv.FormatInt(c.Rev, 10))
	tx := table.Tx{
		Checks: []table.Check{{Key: headKey, Version: headVersion}, {Key: idPrefix + c.ID}},
		Puts: []table.Put{
			{Key: headKey, Value: rev},
			{Key: logKey(c.Rev), Value: encode(c)},
			{Key: idPrefix + c.ID, Value: rev},
		},
	}
	if c.Doc.Deleted {
		tx.Deletes = []string{docKey(c.Doc)}
		return tx
	}
	tx.Puts = append(tx.Puts, table.Put{Key: docKey(c.Doc), Value: encode(c.Doc)})
	return tx
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // documents hold only strings, numbers and booleans
	}
	return b
}

func (s *Store) readHead(ctx context.Context) (rev, version int64, err error) {
	row, err := s.Table.Get(ctx, headKey)
	if table.IsKind(err, table.NotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	rev, err = strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return 0, 0, &Error{Op: "read", Kind: Invalid, Doc: headKey, Err: err}
	}
	return rev, row.Version, nil
}

func (s *Store) readChange(ctx context.Context, rev int64) (Change, error) {
	row, err := s.Table.Get(ctx, logKey(rev))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

func decodeChange(row table.Row) (Change, error) {
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, &Error{Op: "read", Kind: Invalid, Doc: row.Key, Err: err}
	}
	return c, nil
}

// Refresh reads the head revision from the table and applies the changes up to it.
func (s *Store) Refresh(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.advanceTo(ctx, head)
}

func (s *Store) advanceTo(ctx context.Context, head int64) error {
	if s.Tree().Rev() == 0 && head > logPageSize {
		if err := s.readSnapshot(ctx, head); err != nil {
			return err
		}
	}
	for s.Tree().Rev() < head {
		rows, err := s.Table.ScanAfter(ctx, logPrefix, logKey(s.Tree().Rev()), logPageSize)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return &Error{Op: "read", Kind: RevisionGap, Reason: "the change log ends before the head revision"}
		}
		changes := make([]Change, len(rows))
		for i, row := range rows {
			if changes[i], err = decodeChange(row); err != nil {
				return err
			}
		}
		if err := s.Install(changes); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshot reads all documents, some of which may be newer than head, and then
// the change log after head, so that the published tree is that of one revision.
func (s *Store) readSnapshot(ctx context.Context, head int64) error {
	rows, err := s.Table.Scan(ctx, docPrefix)
	if err != nil {
		return err
	}
	docs := make([]Document, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &docs[i]); err != nil {
			return &Error{Op: "read", Kind: Invalid, Doc: row.Key, Err: err}
		}
	}
	newHead, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	t := FromSnapshot(head, docs)
	for t.Rev() < newHead {
		rows, err := s.Table.ScanAfter(ctx, logPrefix, logKey(t.Rev()), logPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			c, err := decodeChange(row)
			if err != nil {
				return err
			}
			if t, err = t.WithChanges(c); err != nil {
				return err
			}
		}
	}
	s.InstallSnapshot(t.Rev(), t.AllDocs())
	return nil
}

// Install applies changes that follow the current revision. Changes that the tree
// already includes are skipped.
func (s *Store) Install(changes []Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Tree()
	after, err := before.WithChanges(changes...)
	if err != nil {
		return err
	}
	if after.Rev() == before.Rev() {
		return nil
	}
	for _, c := range changes {
		if c.Rev > before.Rev() {
			s.recentChanges = append(s.recentChanges, c)
		}
	}
	if extra := len(s.recentChanges) - maxRecentChanges; extra > 0 {
		s.recentChanges = append([]Change(nil), s.recentChanges[extra:]...)
	}
	s.publish(after)
	return nil
}

// InstallSnapshot replaces the tree if the snapshot has a later revision.
func (s *Store) InstallSnapshot(rev int64, docs []Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.Tree().Rev() {
		return
	}
	s.recentChanges = nil
	s.publish(FromSnapshot(rev, docs))
}

func (s *Store) publish(t *Tree) {
	s.tree.Store(t)
	if s.OnChange != nil {
		s.OnChange(t)
	}
}

// ChangesSince returns the changes after a revision. It reports false if they are no
// longer kept.
func (s *Store) ChangesSince(rev int64) (changes []Change, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev >= s.Tree().Rev() {
		return nil, true
	}
	for i, c := range s.recentChanges {
		if c.Rev == rev+1 {
			return append([]Change(nil), s.recentChanges[i:]...), true
		}
	}
	return nil, false
}

// History reads up to limit audit records from the table, newest first. An empty
// kind selects all documents.
func (s *Store) History(ctx context.Context, kind Kind, name string, limit int) ([]Change, error) {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var out []Change
	for last := head; last > 0 && len(out) < limit; last -= logPageSize {
		rows, err := s.Table.ScanAfter(ctx, logPrefix, logKey(max(0, last-logPageSize)), logPageSize)
		if err != nil {
			return nil, err
		}
		for i := len(rows) - 1; i >= 0 && len(out) < limit; i-- {
			c, err := decodeChange(rows[i])
			if err != nil {
				return nil, err
			}
			if c.Rev <= last && (kind == "" || c.Doc.Kind == kind && c.Doc.Name == name) {
				out = append(out, c)
			}
		}
	}
	return out, nil
}

// ChangeBytes returns the size in bytes of the keys and values that a change writes.
func ChangeBytes(c Change) int {
	n := 0
	for _, p := range changeTx(c, 0).Puts {
		n += len(p.Key) + len(p.Value)
	}
	return n
}
