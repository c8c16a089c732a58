package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// lateReplies is the connection to an engine that sends some replies a second time, where the reply
// to the next command is due. A reply does not tell which command it is to.
type lateReplies struct {
	engine   *sequencedEngine
	isCopied func() bool
	due      []Reply
}

func (l *lateReplies) send(ctx context.Context, c Command) (Reply, error) {
	reply, err := l.engine.send(ctx, c)
	if err != nil || c.OwnConnection {
		return reply, err
	}
	l.due = append(l.due, reply)
	reply, l.due = l.due[0], l.due[1:]
	if l.isCopied() {
		l.due = append([]Reply{reply}, l.due...)
	}
	return reply, nil
}

// Guards against an engine that gets more loads than it has slots for, since a reply to another
// command said that an adapter was unloaded that is in use.
func TestLateReplyDoesNotFreeASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newSequencedEngine(2)
		l := &lateReplies{engine: e, isCopied: func() bool { return false }}
		s := e.sequencer()
		s.Send = l.send
		ctx := t.Context()
		for _, name := range []string{"m/a", "m/b"} {
			_, err := s.Load(ctx, name, 1)
			is.NoErr(err)
		}
		l.isCopied = func() bool { return e.sequence == 3 }
		_, err := s.Unload(ctx, "m/b", 1)
		is.NoErr(err)
		l.isCopied = func() bool { return false }
		e.inUse = map[string]bool{"m/a": true}
		_, err = s.Unload(ctx, "m/a", 1)
		is.NoErr(err)
		for _, name := range []string{"m/c", "m/d"} {
			_, _ = s.Load(ctx, name, 1) // there may be no slot for it
		}
		is.Equal(e.crashes, 0)
	})
}

// Guards against an engine that gets more loads than it has slots for, since an adapter that was to be
// confirmed was unloaded by another sender, and its slot used.
func TestConfirmationDoesNotLoadAnAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newSequencedEngine(2)
		s := e.sequencer()
		_, err := s.Load(t.Context(), "m/a", 1)
		is.NoErr(err)
		e.execute(Command{Model: "m", Adapter: "a", ExpectedSequence: e.sequence})
		for _, adapter := range []string{"b", "c"} {
			e.execute(Command{Load: true, Model: "m", Adapter: adapter, ExpectedSequence: e.sequence})
		}
		_, _ = s.Unload(t.Context(), "m/a", 1) // it is not there
		is.Equal(e.crashes, 0)
	})
}

// Whichever replies come a second time, the engine never gets more loads than it has slots for, and
// loads work again afterwards.
func TestLateRepliesNeverExceedSlots(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 19), 5, 40).Draw(rt, "steps")
		copies := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(rt, "copies")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			e := newSequencedEngine(3)
			e.inUse = make(map[string]bool)
			sent := 0
			l := &lateReplies{engine: e, isCopied: func() bool { sent++; return copies[sent%len(copies)] }}
			s := e.sequencer()
			s.Send = l.send
			names := []string{"m/a", "m/b", "m/c", "m/d", "m/e", "m/f"}
			for _, step := range steps {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				switch {
				case step < 12:
					_, _ = s.Load(ctx, names[step%6], 1) // errors are expected; e.crashes is checked below
				case step < 16:
					_, _ = s.Unload(ctx, names[step%6], 1)
				default:
					name := names[step%6]
					if e.inUse[name] = !e.inUse[name]; !e.inUse[name] {
						e.endUse(name)
					}
					time.Sleep(time.Second)
				}
				cancel()
			}
			l.isCopied, l.due = func() bool { return false }, nil
			for _, name := range names {
				e.endUse(name)
			}
			time.Sleep(2 * time.Second)
			failure = e.failureAfterFaults(s)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
