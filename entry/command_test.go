package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
)

// receivedCommands returns how many commands with a token the engine has received.
func (f *daemonFixture) receivedCommands(token int64) (n int) {
	for _, c := range f.engine.Record().Commands {
		if c.FencingToken == token {
			n++
		}
	}
	return n
}

// closeIdle closes the idle connections to servers.
func (f *daemonFixture) closeIdle() {
	f.daemon.transports.mu.Lock()
	defer f.daemon.transports.mu.Unlock()
	for _, p := range f.daemon.transports.pools {
		p.transport.CloseIdleConnections()
	}
}

// Guards against a command that is sent after its lease has ended, since it waited for its connection.
func TestCommandIsNotSentAfterItsLease(t *testing.T) {
	const token = 99 // unlike those of the daemon's own commands
	for _, tt := range []struct {
		name      string
		leaseLeft time.Duration
		dial      time.Duration
		sent      int
		notSent   bool
	}{
		{name: "lease ends first", leaseLeft: 150 * time.Millisecond, dial: 200 * time.Millisecond, sent: 0, notSent: true},
		{name: "connection comes first", leaseLeft: 250 * time.Millisecond, dial: 200 * time.Millisecond, sent: 1},
		{name: "connection comes after the call", leaseLeft: time.Hour, dial: commandTimeout + 50*time.Millisecond, sent: 0, notSent: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newDaemonFixture(is)
				defer f.close()
				time.Sleep(10 * time.Second)
				f.closeIdle()
				f.setDialDelay(tt.dial)
				leaseEnd := time.Now().Add(tt.leaseLeft)
				ctx := engine.WithSendCheck(t.Context(), func() bool { return time.Now().Before(leaseEnd) })
				send := f.daemon.sequencer(settings.BackendServer{Name: f.engine.Self.ID}).Send
				_, err := send(ctx, engine.Command{Load: true, Model: "base-7b", Adapter: "a1", ExpectedSequence: -1, FencingToken: token})
				is.Equal(engine.IsKind(err, engine.NotSent), tt.notSent)
				time.Sleep(2 * time.Second)
				is.Equal(f.receivedCommands(token), tt.sent)
				is.Equal(f.logCount("token=99"), 1)
			})
		})
	}
}
