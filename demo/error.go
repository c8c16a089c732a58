package demo

import "strings"

// Error says which promises were broken.
type Error struct {
	Op         string
	Kind       string // "broken-promise" or "set-up"
	Violations []string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "demo: " + e.Op + ": " + e.Kind + ": " + strings.Join(e.Violations, "; ")
}
