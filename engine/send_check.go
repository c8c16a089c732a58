package engine

import "context"

type sendCheckKey struct{}

// WithSendCheck returns a context for a command that must not be sent once canSend returns false.
func WithSendCheck(ctx context.Context, canSend func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, canSend)
}

// MaySend reports whether the command of a context may still be sent. Ask it right before the first
// bytes are written: a command can wait for its connection or for the processor until then.
func MaySend(ctx context.Context) bool {
	canSend, ok := ctx.Value(sendCheckKey{}).(func() bool)
	return ctx.Err() == nil && (!ok || canSend())
}
