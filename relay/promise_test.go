package relay

import (
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against a status that tells the caller that its request has not run, where no server has
// stated that.
func TestStatusIsNoPromiseWithoutTheServersStatement(t *testing.T) {
	for _, pool := range []route.Pool{plainPool(), enginePool()} {
		for _, status := range []int{408, 421, 429, 503} {
			t.Run(pool.Name+"/"+strconv.Itoa(status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, pool, reply{head: testHead(status, ""), body: "failed"})
					w, cut := f.serve("/p/x", "r1", "body")
					is.True(!cut)
					is.Equal(w.Code, 502)
					is.Equal(len(f.servers.requests), 1)
				})
			})
		}
	}
}

// Guards against a success that is taken for a refusal.
func TestSuccessIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ok := reply{head: testHead(200, ""), body: "whole"}
		f := newFixture(route.Route{Kind: route.NonIdempotent, MaxAttempts: 2}, plainPool(), reply{head: testHead(200, "notrun"), body: "x"}, ok)
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, 502)
		is.Equal(len(f.servers.requests), 1)
	})
}
