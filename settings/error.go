package settings

import "fmt"

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	Invalid     ErrorKind = "invalid"     // the edit is malformed or breaks a rule of the tree
	NotFound    ErrorKind = "not-found"   // the named document does not exist
	Conflict    ErrorKind = "conflict"    // the document has changed since it was read, or the edit's ID was used before
	RevisionGap ErrorKind = "gap"         // a revision is missing between the tree and a change
	Unavailable ErrorKind = "unavailable" // the table is unreachable; nothing was changed
	Unknown     ErrorKind = "unknown"     // the change may have been accepted
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	Doc    string // kind and name of the document, if any
	Field  string // the invalid field, if any
	Reason string
	Err    error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "settings: " + e.Op + ": " + string(e.Kind)
	if e.Doc != "" {
		s += ": " + e.Doc
	}
	if e.Field != "" {
		s += ": field " + e.Field
	}
	if e.Reason != "" {
		s += ": " + e.Reason
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func invalid(op, doc, field, format string, args ...any) *Error {
	return &Error{Op: op, Kind: Invalid, Doc: doc, Field: field, Reason: fmt.Sprintf(format, args...)}
}
