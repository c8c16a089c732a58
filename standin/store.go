package standin

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// maxHistoryRows bounds the changed rows that a [Store] keeps for its feed.
	maxHistoryRows = 1 << 14
	// maxPageRows bounds the rows of one response, as in the platform's store.
	maxPageRows = 500
)

// Store is a stand-in for the platform's metadata store. The zero value is an
// empty store.
type Store struct {
	mu             sync.Mutex
	table          Table
	history        []table.ChangedRow
	droppedVersion int64 // changes up to this version are no longer kept
	version        int64
	changed        chan struct{} // closed at the next change
	fault          TableFault
	restores       int64
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	platform.StoreServer(s.handle).ServeHTTP(w, r)
}

// SetFault replaces the injected failures.
func (s *Store) SetFault(f TableFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the kept changes, so that the feed fails for clients that are
// behind the current version.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Put writes a row, as the operator or a replica does. Injected faults do not apply.
func (s *Store) Put(key string, value []byte) {
	s.commit(table.Tx{Puts: []table.Put{{Key: key, Value: value}}})
}

// Copy returns a copy of the store, for [Store.Restore].
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreCopy{rows: s.table.Rows(""), history: slices.Clone(s.history), droppedVersion: s.droppedVersion, version: s.version}
}

// Restore replaces the contents by those of a copy, including the version, and begins a
// new generation. What operators and replicas wrote since is written again.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	lost := s.table.Rows("")
	s.table.reset(c.rows, c.version)
	s.history, s.droppedVersion, s.version = slices.Clone(c.history), c.droppedVersion, c.version
	s.restores++
	s.wake()
	s.mu.Unlock()
	s.writeAgain(lost, c.rows)
}

// writeAgain writes the rows of operators and replicas that differ between the lost rows
// and those in force.
func (s *Store) writeAgain(lost, rows []table.Row) {
	current := make(map[string][]byte)
	for _, row := range rows {
		current[row.Key] = row.Value
	}
	var tx table.Tx
	for _, row := range lost {
		if value, ok := current[row.Key]; isOutsideRow(row.Key) && (!ok || !bytes.Equal(value, row.Value)) {
			tx.Puts = append(tx.Puts, table.Put{Key: row.Key, Value: row.Value})
		}
		delete(current, row.Key)
	}
	for key := range current {
		if isOutsideRow(key) {
			tx.Deletes = append(tx.Deletes, key)
		}
	}
	if len(tx.Puts)+len(tx.Deletes) > 0 {
		s.commit(tx)
	}
}

// isOutsideRow reports whether operators or replicas write the row.
func isOutsideRow(key string) bool {
	return strings.HasPrefix(key, platform.OperatorTable+"/") || strings.HasPrefix(key, platform.ServersTable+"/")
}

// StoreCopy is what a [Store] held at some time.
type StoreCopy struct {
	rows           []table.Row
	history        []table.ChangedRow
	droppedVersion int64
	version        int64
}

// Rows returns the rows whose keys start with prefix.
func (s *Store) Rows(prefix string) []table.Row { return s.table.Rows(prefix) }

// Remove removes a row. Injected faults do not apply.
func (s *Store) Remove(key string) { s.commit(table.Tx{Deletes: []string{key}}) }

// commit applies a transaction and wakes the requests that wait for changes.
func (s *Store) commit(tx table.Tx) (version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.table.Commit(tx)
	if res.Conflict != "" {
		return 0, false
	}
	s.version = res.Version
	for _, p := range tx.Puts {
		s.history = append(s.history, table.ChangedRow{Row: table.Row{Key: p.Key, Value: p.Value, Version: s.version}})
	}
	for _, key := range tx.Deletes {
		s.history = append(s.history, table.ChangedRow{Row: table.Row{Key: key, Version: s.version}, Removed: true})
	}
	if over := len(s.history) - maxHistoryRows; over > 0 {
		s.droppedVersion = s.history[over-1].Version
		s.history = append([]table.ChangedRow(nil), s.history[over:]...)
	}
	s.wake()
	return s.version, true
}

// wake wakes the requests that wait for changes. s.mu must be held.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// handle processes a request. A restore breaks the connections of requests in progress.
func (s *Store) handle(ctx context.Context, req platform.StoreRequest) (platform.StoreResponse, error) {
	before := s.restoreCount()
	resp, err := s.process(ctx, req)
	if s.restoreCount() != before {
		return platform.StoreResponse{}, &table.Error{Op: "stand-in", Kind: table.Unknown}
	}
	resp.Restores, resp.StoreTime = before, time.Duration(time.Now().UnixNano())
	return resp, err
}

func (s *Store) restoreCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores
}

func (s *Store) process(ctx context.Context, req platform.StoreRequest) (platform.StoreResponse, error) {
	const op = "stand-in"
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Down {
		return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Unavailable}
	}
	switch {
	case req.Tx != nil:
		if delay := fault.applyDelay(*req.Tx); delay > 0 {
			time.AfterFunc(delay, func() { s.commit(*req.Tx) })
			return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Unknown}
		}
		version, ok := s.commit(*req.Tx)
		if !ok {
			return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Conflict}
		}
		if fault.LoseResponse != nil && fault.LoseResponse(*req.Tx) {
			return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Unknown}
		}
		return platform.StoreResponse{Changes: table.Changes{Version: version}}, nil
	case req.WaitChanges:
		return s.waitChanges(ctx, req)
	}
	return s.readPage(req), nil
}

// waitChanges returns the changes after a version. If there are none, it waits for
// the time that the request allows.
func (s *Store) waitChanges(ctx context.Context, req platform.StoreRequest) (platform.StoreResponse, error) {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		ch, changed, err := s.changesSince(req)
		if err != nil || len(ch.Rows) > 0 || req.Wait == 0 {
			return platform.StoreResponse{Changes: ch}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return platform.StoreResponse{Changes: ch}, nil
		case <-ctx.Done():
			return platform.StoreResponse{}, ctx.Err()
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that is
// closed at the next change of the store.
func (s *Store) changesSince(req platform.StoreRequest) (ch table.Changes, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.After < s.droppedVersion || req.After > s.version {
		return ch, nil, &table.Error{Op: "stand-in", Kind: table.HistoryLost, Key: req.Table}
	}
	ch.Version = s.version
	for _, row := range s.history {
		if row.Version > req.After && strings.HasPrefix(row.Key, req.Table+"/") {
			ch.Rows = append(ch.Rows, row)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return ch, s.changed, nil
}

func (s *Store) readPage(req platform.StoreRequest) platform.StoreResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := maxPageRows
	if req.Limit > 0 {
		limit = min(limit, req.Limit)
	}
	prefix := req.Table + "/"
	resp := platform.StoreResponse{Changes: table.Changes{Version: s.version}}
	for _, row := range s.table.Rows(prefix) {
		key := strings.TrimPrefix(row.Key, prefix)
		if key < req.From || req.To != "" && key >= req.To {
			continue
		}
		if len(resp.Rows) == limit {
			resp.MorePages = true
			break
		}
		resp.Rows = append(resp.Rows, table.ChangedRow{Row: row})
	}
	return resp
}
