package table

import "time"

// Row is one row of the table. A table that is restored from a copy gives out versions
// again, so they are comparable only within one generation of the table.
type Row struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Version    int64  `json:"version"`
	Generation int64  `json:"-"` // in which the row was read; 0 if the table states none
}

// Check requires that a row has the given version. Version 0 requires that the
// row does not exist.
type Check struct {
	Key        string `json:"key"`
	Version    int64  `json:"version"`
	Generation int64  `json:"-"` // in which the version was read; 0 if it is not known
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Tx is one transaction. Its writes are applied only if every check holds.
type Tx struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Generation returns the generation of the table in which the versions of the checks were
// read, or 0 if none states one. It returns false if they were read in different ones.
func (tx Tx) Generation() (generation int64, ok bool) {
	for _, c := range tx.Checks {
		if c.Generation != 0 && generation != 0 && c.Generation != generation {
			return 0, false
		}
		generation = max(generation, c.Generation)
	}
	return generation, true
}

// TxResult is the response to a transaction. Conflict is the key of the first row
// whose check failed. Version is the version of all written rows.
type TxResult struct {
	Conflict string `json:"conflict,omitempty"`
	Version  int64  `json:"version"`
}

// Rows is the response to a read.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Snapshot holds all rows of a table. Changes after its version are polled next.
type Snapshot struct {
	Rows       []Row
	Version    int64
	Generation int64         // see [Row]
	StoreTime  time.Duration // of the response, on the store's clock; 0 if it is not stated
}

// Changes is the response to a poll for changes after a version: the changed
// rows in order, and the version to poll from next.
type Changes struct {
	Rows       []ChangedRow
	Version    int64
	Generation int64         // see [Row]
	StoreTime  time.Duration // of the response, on the store's clock; 0 if it is not stated
}

// ChangedRow is a row that was written or removed.
type ChangedRow struct {
	Row
	Removed bool
}
