package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// historyKept is how many changed rows a [Rows] remembers for its feed.
	historyKept = 1 << 14
	// pageRows is the most rows in one answer, as on the platform's page.
	pageRows = 500
)

// Store is a stand-in for the platform's metadata store. The zero value is an
// empty store.
type Store struct {
	mu        sync.Mutex
	table     Table
	history   []table.ChangedRow
	forgotten int64 // changes up to this version are not known any more
	version   int64
	changed   chan struct{} // closed at the next change
	fault     TableFault
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	platform.StoreServer(s.call).ServeHTTP(w, r)
}

// SetFault replaces the failures in force.
func (s *Store) SetFault(f TableFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory makes the feed fail for those who do not know the newest rows.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.version
}

// Put writes a row, as the operator or a replica does. It does not fail.
func (s *Store) Put(key string, value []byte) {
	s.commit(table.Tx{Puts: []table.Put{{Key: key, Value: value}}})
}

// Store returns the rows whose keys start with prefix.
func (s *Store) Rows(prefix string) []table.Row { return s.table.Rows(prefix) }

// Remove removes a row.
func (s *Store) Remove(key string) { s.commit(table.Tx{Deletes: []string{key}}) }

// commit applies a transaction and tells the followers.
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
	if over := len(s.history) - historyKept; over > 0 {
		s.forgotten = s.history[over-1].Version
		s.history = append([]table.ChangedRow(nil), s.history[over:]...)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return s.version, true
}

func (s *Store) call(ctx context.Context, c platform.StoreRequest) (platform.StoreResponse, error) {
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
	case c.Tx != nil:
		version, ok := s.commit(*c.Tx)
		if !ok {
			return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Conflict}
		}
		if fault.LoseResponse != nil && fault.LoseResponse(*c.Tx) {
			return platform.StoreResponse{}, &table.Error{Op: op, Kind: table.Unknown}
		}
		return platform.StoreResponse{Changes: table.Changes{Version: version}}, nil
	case c.WaitChanges:
		return s.follow(ctx, c)
	}
	return s.page(c), nil
}

func (s *Store) follow(ctx context.Context, c platform.StoreRequest) (platform.StoreResponse, error) {
	limit := time.NewTimer(c.Wait)
	defer limit.Stop()
	for {
		ch, changed, err := s.since(c)
		if err != nil || len(ch.Rows) > 0 || c.Wait == 0 {
			return platform.StoreResponse{Changes: ch}, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return platform.StoreResponse{Changes: ch}, nil
		case <-ctx.Done():
			return platform.StoreResponse{}, ctx.Err()
		}
	}
}

// since returns the changes of a table after a version, and what is closed when
// the store changes again.
func (s *Store) since(c platform.StoreRequest) (ch table.Changes, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.After < s.forgotten {
		return ch, nil, &table.Error{Op: "stand-in", Kind: table.HistoryLost, Key: c.Table}
	}
	ch.Version = s.version
	for _, row := range s.history {
		if row.Version > c.After && strings.HasPrefix(row.Key, c.Table+"/") {
			ch.Rows = append(ch.Rows, row)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return ch, s.changed, nil
}

func (s *Store) page(c platform.StoreRequest) platform.StoreResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := pageRows
	if c.Limit > 0 {
		limit = min(limit, c.Limit)
	}
	prefix := c.Table + "/"
	reply := platform.StoreResponse{Changes: table.Changes{Version: s.version}}
	for _, row := range s.table.Rows(prefix) {
		key := strings.TrimPrefix(row.Key, prefix)
		if key < c.From || c.To != "" && key >= c.To {
			continue
		}
		if len(reply.Rows) == limit {
			reply.MorePages = true
			break
		}
		reply.Rows = append(reply.Rows, table.ChangedRow{Row: row})
	}
	return reply
}
