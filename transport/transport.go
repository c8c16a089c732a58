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
