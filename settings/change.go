package settings

import "time"

// Edit is an operator's change of one document: the fields to set and those to reset
// to their inherited values. BaseRev is the revision of the document that the
// operator last read; the edit fails if the current revision differs.
type Edit struct {
	ID      string            `json:"id"` // makes the edit idempotent
	Kind    Kind              `json:"kind"`
	Name    string            `json:"name"`
	Set     map[string]string `json:"set,omitempty"`
	Unset   []string          `json:"unset,omitempty"`
	Delete  bool              `json:"delete,omitempty"`
	BaseRev int64             `json:"base"` // AnyRevision skips the check
	Who     string            `json:"who"`
	Why     string            `json:"why"`
}

// AnyRevision as [Edit.BaseRev] applies the edit to the current revision.
const AnyRevision int64 = -1

// Change is an accepted edit: its audit record and the resulting document.
type Change struct {
	Rev  int64             `json:"rev"`
	ID   string            `json:"id"`
	Who  string            `json:"who"`
	Why  string            `json:"why"`
	When time.Time         `json:"when"`
	Old  map[string]string `json:"old,omitempty"`
	Doc  Document          `json:"doc"`
}
