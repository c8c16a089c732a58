package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
)

var errCommandTooLate = errors.New("the lease or the time of the command ended before it was sent")

// command is one command on its way to an engine.
type command struct {
	engine string
	start  time.Time
	// maySend reports whether the command may still be sent.
	maySend func() bool

	mu     sync.Mutex // guards the fields below
	conn   *serverConn
	waited time.Duration // for the connection
	begun  bool          // bytes may have been written
	ended  bool          // the call has ended, so no bytes may be written any more
	err    error         // of setting an option of the connection, or of closing it
}

type commandKey struct{}

// newCommand returns a command to an engine, and the context in which to send it.
func newCommand(ctx context.Context, engineName string) (*command, context.Context) {
	c := &command{engine: engineName, start: time.Now()}
	ctx = context.WithValue(ctx, commandKey{}, c)
	c.maySend = func() bool { return engine.MaySend(ctx) }
	return c, ctx
}

func commandOf(ctx context.Context) *command {
	c, _ := ctx.Value(commandKey{}).(*command)
	return c
}

// take records the connection that the command got.
func (c *command) take(conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.waited = conn, time.Since(c.start)
	c.err = conn.carry(c)
}

// beforeRequest returns an error if the command must not be sent.
func (c *command) beforeRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.maySend() {
		return errCommandTooLate
	}
	c.begun = true
	return nil
}

// end ends the command with the error of its call, and returns that with its kind. Without a
// response, it resets the connection.
func (c *command) end(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	answered := err == nil || platform.IsKind(err, platform.Refused)
	if c.conn == nil {
		c.waited = time.Since(c.start)
	} else if err := c.conn.end(c, answered); err != nil {
		c.err = err
	}
	switch {
	case err == nil:
		return nil
	case answered:
		return &engine.Error{Op: "order", Kind: engine.Refused, Engine: c.engine, Err: err}
	case !c.begun:
		return &engine.Error{Op: "order", Kind: engine.NotSent, Engine: c.engine, Err: err}
	}
	return err
}

// sendCommand sends one command to a replica. Its error is of kind [engine.NotSent] if nothing was
// written, and [engine.Refused] if the replica did nothing.
func (d *Daemon) sendCommand(ctx context.Context, client *platform.ReplicaClient, s backend.Server, c engine.Command) (engine.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	cmd, ctx := newCommand(ctx, s.ID)
	reply, err := client.SendCommand(ctx, s, c)
	err = cmd.end(err)
	d.log.Info("order", "engine", s.ID, "load", c.Load, "model", c.Model, "adapter", c.Adapter,
		"expected", c.ExpectedSequence, "token", c.FencingToken, "waited", cmd.waited, "reply", reply, "err", err)
	if cmd.err != nil {
		d.log.Warn("cannot set how the connection of a command ends", "engine", s.ID, "token", c.FencingToken, "err", cmd.err)
	}
	return reply, err
}
