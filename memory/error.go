package memory

import "github.com/juju/errors"

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	OverBudget ErrorKind = "out-of-memory-budget" // clients make the process hold as much as they may
	TooLarge   ErrorKind = "too-large"            // there are more bytes than the limit
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
}

// Error implements the error interface.
func (e *Error) Error() string { return "memory: " + e.Op + ": " + string(e.Kind) }

// IsKind reports whether err is an [Error] of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
