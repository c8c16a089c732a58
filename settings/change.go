package settings

import "time"

// Edit is what an operator asks for: fields to set and to reset to their
// inherited value on one document. Base is the document revision that the
// operator last saw; it must be the present one.
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

// AnyRevision as [Edit.Base] applies the edit to whatever revision is present.
const AnyRevision int64 = -1

// Change is an accepted edit: the audit record and the document it made.
type Change struct {
	Rev  int64             `json:"rev"`
	ID   string            `json:"id"`
	Who  string            `json:"who"`
	Why  string            `json:"why"`
	When time.Time         `json:"when"`
	Old  map[string]string `json:"old,omitempty"`
	Doc  Document          `json:"doc"`
}
