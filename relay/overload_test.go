package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/schedule"
)

// Guards against requests that a node without processor time accepts, and serves too late or by a
// configuration that it has not had the time to read.
func TestNodeWithoutProcessorTimeRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ok := reply{head: testHead(200, ""), body: "whole"}
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Priority: 2}, plainPool(), ok)
		overloaded := true
		f.handler.IsOverloaded = func(_ time.Time, r schedule.GateRequest) bool { return overloaded && r.Priority == 2 }
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 503)
		is.Equal(w.Header().Get("Retry-After"), "0.100")
		is.Equal(len(f.servers.requests), 0)
		overloaded = false
		w, _ = f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 200)
	})
}
