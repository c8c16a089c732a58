package engine

import "context"

// Control is the set of commands that an owner sends to one engine. Load and
// Unload return once the engine has executed the command. The boot ID in their
// results and in the load report differs for every start of the engine.
type Control struct {
	Load   func(ctx context.Context, name string, token int64) (boot string, err error)
	Unload func(ctx context.Context, name string, token int64) (boot string, err error)
	Report func(ctx context.Context) (LoadReport, error)
}
