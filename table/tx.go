package table

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Check requires that a row has a version; 0 means that it does not exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Tx is one transaction. Either every check holds and every write is applied,
// or nothing is.
type Tx struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// TxResult is the answer to a transaction. Conflict names the first row whose
// check failed. Version is the version of every row that was written.
type TxResult struct {
	Conflict string `json:"conflict,omitempty"`
	Version  int64  `json:"version"`
}

// Rows is the answer to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Changes is the answer to a question for changes after a version: the changed
// rows in order, and the version from which to ask on.
type Changes struct {
	Rows    []ChangedRow
	Version int64
}

// ChangedRow is a row that was written or removed.
type ChangedRow struct {
	Row
	Removed bool
}
