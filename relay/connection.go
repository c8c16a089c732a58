package relay

import (
	"context"
	"time"
)

// Connection describes the connection to a server on which an attempt was sent, as it was before.
// The zero value means that the attempt got none.
type Connection struct {
	ID            int64         // unique within the process
	Age           time.Duration // since it was established
	Requests      int           // number of requests and calls that it had carried
	LastRequestID string        // of the last of them; empty for a call without an ID
}

type connectionKey struct{}

// RecordConnection records the connection that an attempt got, given the context of the request to
// the server. It must be called before the round trip returns.
func RecordConnection(ctx context.Context, c Connection) {
	if to, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		*to = c
	}
}

// withConnection returns a context in which [RecordConnection] sets c.
func withConnection(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}
