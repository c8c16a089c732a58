// Package transport classifies errors of HTTP round trips by whether the
// server can have received the request.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if err != nil && transport.IsDialError(err) {
//		// The server has received nothing of the request.
//	}
//
// An error of [Unsent] tells the same of a request that was held back although its server may be
// reachable; [IsUnreachable] excludes it.
//
// # Not covered
//
// Errors after the connection was established are not classified, since the
// server may have received the request.
package transport

import (
	"net"

	"github.com/juju/errors"
)

// IsDialError reports whether an error occurred while connecting. Only then is
// it certain that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unsentError is the reason for which a request was held back.
type unsentError struct{ error }

// Unwrap returns the reason.
func (e unsentError) Unwrap() error { return e.error }

// Unsent returns an error for which [IsDialError] holds, for a request that was held back for a reason that
// tells nothing of its server.
func Unsent(reason error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: unsentError{reason}}
}

// IsUnreachable reports whether an error occurred while connecting to the server.
func IsUnreachable(err error) bool {
	return IsDialError(err) && !errors.As(err, new(unsentError))
}
