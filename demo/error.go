package demo

import "strings"

// Error is a failed set-up, or guarantees that did not hold.
type Error struct {
	Op         string
	Kind       string // "broken-promise" for a violated guarantee, or "set-up"
	Violations []string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "demo: " + e.Op + ": " + e.Kind + ": " + strings.Join(e.Violations, "; ")
}
