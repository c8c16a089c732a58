package service

import "github.com/juju/errors"

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	NotRun   ErrorKind = "not-run"  // the call was provably never sent
	Unknown  ErrorKind = "unknown"  // the call may have run
	Conflict ErrorKind = "conflict" // the key belongs to another call; this one did not run
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
	s := "service: " + e.Op + ": " + string(e.Kind)
	if e.Key != "" {
		s += ": key " + e.Key
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
