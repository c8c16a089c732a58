package relay

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against sends for a caller that has left but whose request's context has not
// ended yet, on the first attempt and on a retry.
func TestCallerThatLeftGetsNoSend(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pool  route.Pool
		kind  route.Kind
		first []reply // of the attempts before the caller leaves
	}{
		{"plain", plainPool(), route.Idempotent, nil},
		{"plain, retry", plainPool(), route.Idempotent, []reply{{head: testHead(500, ""), body: "failed"}}},
		{"engine", enginePool(), route.Stream, nil},
		{"engine, retry", enginePool(), route.Stream, []reply{{head: testHead(503, "notrun")}}},
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
		})
	}
}
