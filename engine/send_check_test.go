package engine

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against commands that are sent after the lease has ended, since only the sequencer looks at it.
func TestCommandCarriesItsSendCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.True(MaySend(t.Context()))
		e := newSequencedEngine(2)
		s := e.sequencer()
		valid := true
		s.CanSend = func() bool { return valid }
		s.Send = func(ctx context.Context, _ Command) (Reply, error) {
			is.True(MaySend(ctx))
			valid = false // while the command waits for its connection
			is.True(!MaySend(ctx))
			valid = true
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			is.True(!MaySend(ctx))
			return "", &Error{Op: "order", Kind: NotSent}
		}
		_, err := s.Load(t.Context(), "m/a", 1)
		is.True(IsKind(err, NotSent))
	})
}
