package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against commands whose arrival nobody waits for: one that may have been sent gets no response,
// and ends with its lease. Those that were not sent or were refused cannot arrive any more.
func TestUnansweredCommandsAreReported(t *testing.T) {
	const left = 40 * time.Millisecond
	for _, tt := range []struct {
		name       string
		err        error // nil: no response
		unanswered int
	}{
		{"no response", nil, maxSendAttempts},
		{"not sent", &Error{Op: "order", Kind: NotSent}, 0},
		{"refused", &Error{Op: "order", Kind: Refused}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newSequencedEngine(2)
				s := e.sequencer()
				unanswered := 0
				s.TimeLeft = func() time.Duration { return left }
				s.OnUnanswered = func() { unanswered++ }
				s.Send = func(ctx context.Context, _ Command) (Reply, error) {
					if tt.err != nil {
						return "", tt.err
					}
					sent := time.Now()
					<-ctx.Done()
					is.Equal(time.Since(sent), left)
					return "", ctx.Err()
				}
				_, err := s.Load(t.Context(), "m/a", 1)
				is.True(err != nil)
				is.Equal(unanswered, tt.unanswered)
			})
		})
	}
}

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
