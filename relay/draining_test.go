package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against requests to a server that said in a response that it is draining, while
// its row says that it is ready.
func TestServerThatSaysItDrainsGetsNoMore(t *testing.T) {
	ok := reply{head: testHead(200, ""), body: "whole"}
	for _, tt := range []struct {
		name   string
		first  []reply // of the first request; the first of them is from the draining server
		status int
	}{
		{"response", []reply{{head: testHead(200, "draining"), body: "whole"}}, 200},
		{"failure", []reply{{head: testHead(500, "draining"), body: "failed"}, ok}, 200},
		{"refusal", []reply{{head: testHead(503, "notrun draining")}, ok}, 200},
		{"misdirected", []reply{{head: testHead(421, "notrun misplaced draining")}, ok}, 200},
		{"response to another request", []reply{{head: testHead(200, "other draining")}, ok}, 200},
		{"broken response", []reply{{head: testHead(200, "draining"), truncated: true}, ok}, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const later = 20
			replies := tt.first
			for range later {
				replies = append(replies, ok)
			}
			f := newFixture(route.Route{Kind: route.Idempotent, MaxAttempts: 2}, plainPool(), replies...)
			w, cut := f.serve("/p/x", "r1", "")
			is.True(!cut)
			is.Equal(w.Code, tt.status)
			f.handler.Balancer = &backend.Balancer{} // it knows no failures
			for range later {
				w, _ := f.serve("/p/x", "r1", "")
				is.Equal(w.Code, 200)
			}
			draining := f.servers.requests[0].Server.ID
			for _, r := range f.servers.requests[1:] {
				is.True(r.Server.ID != draining)
			}
		})
	}
}

// Guards against requests that were queued for an engine when another response of it
// said that it is draining.
func TestQueuedRequestIsNotSentToEngineThatSaysItDrains(t *testing.T) {
	is := is.New(t)
	f := newFixture(route.Route{Kind: route.Stream, MaxAttempts: 1}, enginePool(),
		reply{head: testHead(200, "stream draining"), body: events(1, 2)}, reply{head: testHead(200, "stream"), body: events(1, 2)})
	queued, granted := make(chan struct{}), make(chan struct{})
	f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
		if w.ID == "late.1" {
			close(queued)
			<-granted
		}
		return caller.Grant{Engine: names[0], ID: w.ID}, nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.serve("/p/x", "late", "")
	}()
	<-queued
	w, _ := f.serve("/p/x", "r1", "") // it goes on to its end
	is.Equal(w.Body.String(), events(1, 2))
	close(granted)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the queued request does not end")
	}
	is.Equal(len(f.servers.requests), 2)
	is.Equal(f.servers.requests[0].Server.ID, "i-1")
	is.Equal(f.servers.requests[1].Server.ID, "i-2")
}
