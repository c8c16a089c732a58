package transport

import (
	"io"

	"github.com/juju/errors"
)

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	TooLong ErrorKind = "too-long" // the body is over its limit
	Broken  ErrorKind = "broken"   // the body ended early
	// Malformed means that what came is no response.
	Malformed ErrorKind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "transport: " + e.Op + ": " + string(e.Kind)
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

// ReadBody reads a whole body of at most limit bytes. Of a longer one it returns no
// part, so that a cut body is never taken for a complete one.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	const op = "read"
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, &Error{Op: op, Kind: Broken, Err: err}
	}
	if int64(len(b)) > limit {
		return nil, &Error{Op: op, Kind: TooLong}
	}
	return b, nil
}
