package table

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Check requires that a row has the given version. Version 0 requires that the
// row does not exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
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

// Changes is the response to a poll for changes after a version: the changed
// rows in order, and the version to poll from next.
type Changes struct {
	Rows    []ChangedRow
	Version int64
}

// ChangedRow is a row that was written or removed.
type ChangedRow struct {
	Row
	Removed bool
}
