package table

import "context"

type progressKey struct{}

// WithProgress returns a context for a read whose client calls a function when the response begins to
// arrive, and with each further part of it.
func WithProgress(ctx context.Context, onProgress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// Progress reports that a part of the response to a call with this context has arrived.
func Progress(ctx context.Context) {
	if onProgress, ok := ctx.Value(progressKey{}).(func()); ok {
		onProgress()
	}
}
