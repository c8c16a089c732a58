package table

import "github.com/juju/errors"

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	Conflict    ErrorKind = "conflict"     // a check failed; nothing was written
	NotFound    ErrorKind = "not-found"    // the row does not exist
	Unavailable ErrorKind = "unavailable"  // the service did not process the call; nothing was written
	Unknown     ErrorKind = "unknown"      // no response came; the write may have been applied
	HistoryLost ErrorKind = "history-lost" // the requested changes are no longer kept
	TooLong     ErrorKind = "too-long"     // the requested changes are longer than the table
	Restored    ErrorKind = "restored"     // the table was restored from a copy since its rows were read
	Malformed   ErrorKind = "malformed"    // a request could not be built, or a row not decoded
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Key  string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "table: " + e.Op + ": " + string(e.Kind)
	if e.Key != "" {
		s += ": " + e.Key
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an [Error] of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
