package relay

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against sends for a caller that has left but whose request's context has not
// ended yet, on the first attempt and on a retry, and against sends that the departure
// stopped and that count as failures of the server.
func TestCallerThatLeftGetsNoSend(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pool  route.Pool
		kind  route.Kind
		first []reply // of the attempts before the caller leaves; a failed send is the last
		again int     // attempts that are followed by another
	}{
		{"plain", plainPool(), route.Idempotent, nil, 0},
		{"plain, retry", plainPool(), route.Idempotent, []reply{{head: testHead(500, ""), body: "failed"}}, 1},
		{"plain, failed send", plainPool(), route.Idempotent, []reply{{err: errors.New("not sent")}}, 0},
		{"engine", enginePool(), route.Stream, nil, 0},
		{"engine, retry", enginePool(), route.Stream, []reply{{head: testHead(503, "notrun")}}, 1},
		{"engine, failed send", enginePool(), route.Stream, []reply{{err: errors.New("not sent")}}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(route.Route{Kind: tt.kind, MaxAttempts: 2}, tt.pool, tt.first...)
			f.handler.CallerLeft = func(context.Context) bool { return len(f.servers.requests) == len(tt.first) }
			_, cut := f.serve("/p/x", "r1", "")
			is.True(cut)
			is.Equal(len(f.servers.requests), len(tt.first))
			last := f.events[len(f.events)-1]
			is.Equal(last.Kind, CallerDisconnected)
			is.Equal(last.Attempts, len(tt.first))
			is.Equal(len(f.events)-1, tt.again)
		})
	}
}
