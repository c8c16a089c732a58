package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// A search for a grant whose request has ended may return an engine without an owner. The
// request was then reported as sent, though it never was.
func TestRequestThatEndsInQueueIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(), reply{delay: time.Hour})
		f.handler.Acquire = func(ctx context.Context, names []string, _ engine.Work) (caller.Grant, error) {
			<-ctx.Done()
			return caller.Grant{Engine: names[0]}, nil
		}
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(len(f.servers.requests), 0)
		is.Equal(f.events[0].Kind, ExpiredUnsent)
	})
}
