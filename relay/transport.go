package relay

import (
	"net"

	"github.com/juju/errors"
)

// neverSent reports whether an attempt failed before a connection stood, which
// proves that no server has seen the request.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
