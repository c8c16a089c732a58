package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against streams that broke off and are not resumed, since the owners of the other
// engines refuse them: the deadline for the first event of the request, long past, was taken
// for that of the next event.
func TestResumeIsDueAfterTheLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.Stream, MaxAttempts: 2, Resumable: true, Timeout: time.Minute, TargetLatency: 500 * time.Millisecond, TargetGap: 250 * time.Millisecond}
		f := newFixture(r, enginePool(), reply{head: testHead(200, "stream"), delay: 1900 * time.Millisecond, body: events(1, 2), truncated: true}, reply{head: testHead(200, "stream"), body: events(3, 4)})
		var due, target []time.Duration
		f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
			due, target = append(due, time.Until(w.FirstTokenDeadline)), append(target, time.Until(w.FirstTokenTarget))
			return caller.Grant{Engine: names[0], ID: w.ID}, nil
		}
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(w.Body.String(), events(1, 4))
		is.Equal(due, []time.Duration{2 * time.Second, 2 * time.Second})
		is.Equal(target, []time.Duration{500 * time.Millisecond, 250 * time.Millisecond})
	})
}

// Guards against an owner that takes a stream for begun at its engine, which broke the attempt off before the first
// event: the stream then began at another software version. Owners of engines with that version are told nothing.
func TestGrantOfAnotherVersionIsWithdrawn(t *testing.T) {
	for _, tt := range []struct {
		engines   []string // of the attempts, in turn
		withdrawn []string
	}{
		{[]string{"a", "b", "d"}, []string{"a"}},
		{[]string{"a", "c", "a"}, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newVersionFixture(enginePool(), reply{err: errors.New("connection reset")}, streamReply(1, 2, true), streamReply(3, 4, false))
			f.handler.Acquire = func(_ context.Context, _ []string, w engine.Work) (caller.Grant, error) {
				is.Equal(len(w.Stream), len(backend.StreamKey{}))
				return caller.Grant{Engine: tt.engines[len(f.servers.requests)], ID: w.ID, Stream: w.Stream}, nil
			}
			var withdrawn []string
			f.handler.WithdrawStream = func(g caller.Grant) { withdrawn = append(withdrawn, g.Engine) }
			w, cut := f.serve("/p/x", "r1", "body")
			is.True(!cut)
			is.Equal(w.Body.String(), events(1, 4))
			is.Equal(withdrawn, tt.withdrawn)
		})
	}
}
