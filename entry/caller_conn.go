package entry

import (
	"context"
	"net"

	"github.com/vanilladrift/vanilladrift/listen"
)

type callerConnKey struct{}

// withCallerConn returns the context of the requests on a caller's connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*listen.Conn); ok {
		c = l.NetConn() // that of the network, which PeerLeft knows
	}
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerLeft reports whether the caller of a request has closed its connection.
func (d *Daemon) callerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && d.network.PeerLeft(c)
}
