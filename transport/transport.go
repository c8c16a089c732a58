// Package transport tells what a failed HTTP exchange proves about the other
// side.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if err != nil && transport.IsDialError(err) {
//		// The other side has seen nothing of the request.
//	}
//
// # Not covered
//
// A failure after the connection stood proves nothing, and is not told apart
// further.
package transport

import (
	"net"

	"github.com/juju/errors"
)

// IsDialError reports whether an exchange failed before a connection stood. Only
// a failed dial proves that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
