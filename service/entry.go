package service

import (
	"encoding/json"

	"github.com/vanilladrift/vanilladrift/table"
)

// state is the state of a ledger entry.
type state string

const (
	started state = "started" // sent, or about to be
	ran     state = "ran"     // the answer is recorded
	unknown state = "unknown" // sent, and no answer came
	notRun  state = "not-run" // provably never sent; another attempt may start
)

// entry is the value of a ledger row.
type entry struct {
	Attempt  string    `json:"attempt"`
	Hash     string    `json:"hash"`
	State    state     `json:"state"`
	Response *Response `json:"answer,omitempty"`
	Object   string    `json:"object,omitempty"` // key of a body too large for the row
}

func (e entry) encode() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // entries hold only strings, numbers and bytes
	}
	return b
}

func decodeEntry(row table.Row) (entry, error) {
	var e entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return entry{}, &Error{Op: "read", Kind: Unknown, Key: row.Key, Err: err}
	}
	return e, nil
}
