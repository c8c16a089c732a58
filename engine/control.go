package engine

import "context"

// Control gives orders to one engine. Load and Unload return when the engine
// has carried the order out; they and Report tell which start of the engine
// answered.
type Control struct {
	Load   func(ctx context.Context, name string, token int64) (boot string, err error)
	Unload func(ctx context.Context, name string, token int64) (boot string, err error)
	Report func(ctx context.Context) (LoadReport, error)
}
