package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// TableFault selects the failures of a [Table] or a [Store].
type TableFault struct {
	Down  bool          // every call fails; a Table responds with status 503
	Delay time.Duration // delay before each call takes effect
	// LoseResponse is called after each transaction took effect. If it returns
	// true, the response is lost.
	LoseResponse func(tx table.Tx) bool
	// ApplyLate, if set, returns how long after its arrival a transaction takes effect, if its
	// checks hold then. A delay above zero also loses the response. A Table ignores it.
	ApplyLate func(tx table.Tx) time.Duration
}

// applyDelay returns the delay of a transaction that takes effect late, or 0.
func (f TableFault) applyDelay(tx table.Tx) time.Duration {
	if f.ApplyLate == nil {
		return 0
	}
	return f.ApplyLate(tx)
}

// Table is a stand-in for the transactional table service.
type Table struct {
	mu      sync.Mutex
	fault   TableFault
	rows    map[string]table.Row
	keys    []string // sorted
	version int64
	reads   int64
	writes  int64
}

// SetFault replaces the injected failures.
func (t *Table) SetFault(f TableFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Counts returns the numbers of reads and of transactions served so far.
func (t *Table) Counts() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Rows returns the rows whose keys start with prefix.
func (t *Table) Rows(prefix string) []table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scan(prefix, "", 0)
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	fault := t.fault
	t.mu.Unlock()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/rows":
		t.serveRows(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/tx":
		t.serveTx(w, r, fault)
	default:
		http.NotFound(w, r)
	}
}

func (t *Table) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // an absent limit means no limit
	t.mu.Lock()
	t.reads++
	var rows []table.Row
	if key := q.Get("key"); key != "" {
		if row, ok := t.rows[key]; ok {
			rows = []table.Row{row}
		}
	} else {
		rows = t.scan(q.Get("prefix"), q.Get("after"), limit)
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, table.Rows{Rows: rows})
}

// scan returns up to limit rows with the prefix whose keys follow after; limit 0
// means no limit. t.mu must be held.
func (t *Table) scan(prefix, after string, limit int) []table.Row {
	var rows []table.Row
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && t.keys[i] == after {
		i++
	}
	for ; i < len(t.keys) && strings.HasPrefix(t.keys[i], prefix); i++ {
		if limit > 0 && len(rows) == limit {
			break
		}
		rows = append(rows, t.rows[t.keys[i]])
	}
	return rows
}

func (t *Table) serveTx(w http.ResponseWriter, r *http.Request, fault TableFault) {
	var tx table.Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res := t.Commit(tx)
	if fault.LoseResponse != nil && fault.LoseResponse(tx) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, res)
}

// Commit applies a transaction, or returns the key of a check that failed.
func (t *Table) Commit(tx table.Tx) table.TxResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range tx.Checks {
		if t.rows[c.Key].Version != c.Version {
			return table.TxResult{Conflict: c.Key}
		}
	}
	t.version++
	for _, p := range tx.Puts {
		t.put(p)
	}
	for _, key := range tx.Deletes {
		if i, found := slices.BinarySearch(t.keys, key); found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, key)
		}
	}
	return table.TxResult{Version: t.version}
}

// reset replaces the rows and the version.
func (t *Table) reset(rows []table.Row, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.keys, t.version = make(map[string]table.Row, len(rows)), nil, version
	for _, row := range rows {
		t.rows[row.Key] = row
		t.keys = append(t.keys, row.Key)
	}
}

func (t *Table) put(p table.Put) {
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
	}
	if i, found := slices.BinarySearch(t.keys, p.Key); !found {
		t.keys = slices.Insert(t.keys, i, p.Key)
	}
	t.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: t.version}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client closed the connection
}
