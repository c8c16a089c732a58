package operator

import (
	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/settings"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return "operator: " + e.Op + ": " + e.Kind + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// connectError returns err with the connect code that the operators' client maps to an
// exit status.
func connectError(err error) error {
	var se *settings.Error
	if !errors.As(err, &se) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	code := connect.CodeInternal
	switch se.Kind {
	case settings.Invalid:
		code = connect.CodeInvalidArgument
	case settings.NotFound:
		code = connect.CodeNotFound
	case settings.Conflict:
		code = connect.CodeAborted
	case settings.Unavailable:
		code = connect.CodeUnavailable
	case settings.Unknown:
		code = connect.CodeUnknown
	}
	return connect.NewError(code, err)
}
