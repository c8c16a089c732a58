package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/schedule"
)

// Guards against a refused request of a plain pool that reaches a server, and against attempts of which
// the pool's gate learns nothing.
func TestPlainPoolsAreGated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 2, Priority: 2, TargetLatency: 300 * time.Millisecond}, plainPool(), reply{head: testHead(503, "notrun")}, reply{head: testHead(200, ""), body: "whole"})
		admits, short := false, []bool{}
		f.handler.AdmitPlain = func(_ time.Time, pool string, r schedule.GateRequest) bool {
			is.Equal(pool, plainPool().Name)
			is.Equal(r.Priority, 2)
			is.Equal(r.TimeLeft, 300*time.Millisecond)
			return admits
		}
		f.handler.ObservePlain = func(_ time.Time, _ string, isShort bool) { short = append(short, isShort) }
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 503)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(len(f.servers.requests), 0)
		admits = true
		w, _ = f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 200)
		is.Equal(short, []bool{true, false})
	})
}
