package relay

import (
	"context"
	"net/http"
	"strings"
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

// newPromptFixture returns a fixture whose requests have the parts "common" and "bad", and a
// function that quarantines "bad" for a minute.
func newPromptFixture(maxAttempts int, replies ...reply) (f *fixture, quarantine func()) {
	f = newFixture(route.Route{Kind: route.Stream, MaxAttempts: maxAttempts, Resumable: true, Timeout: 5 * time.Second}, enginePool(), replies...)
	f.handler.Prompts = &backend.PromptQuarantine{}
	decode := f.handler.DecodeRequest
	f.handler.DecodeRequest = func(h http.Header) (RequestHead, error) {
		head, err := decode(h)
		head.PromptParts = []string{"common", "bad"}
		return head, err
	}
	return f, func() {
		f.handler.Prompts.Learn(time.Now(), []backend.Quarantine{{Parts: []string{"bad"}, Left: time.Minute, Length: time.Minute}})
	}
}

// Guards against an engine that is crashed by a prompt that may not be sent any more: the part
// was quarantined while the request was queued for its grant.
func TestQueuedPromptIsNotSentOnceQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, quarantine := newPromptFixture(2, reply{head: testHead(200, "stream"), body: events(1, 2)})
		acquired, released := 0, 0
		f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
			acquired++
			time.Sleep(400 * time.Millisecond)
			quarantine()
			time.Sleep(100 * time.Millisecond)
			return caller.Grant{Engine: names[0], ID: w.ID}, nil
		}
		f.handler.Release = func(caller.Grant, bool, time.Duration) { released++ }
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(len(f.servers.requests), 0)
		is.Equal(w.Code, http.StatusServiceUnavailable) // not run
		is.True(strings.Contains(w.Body.String(), string(PromptQuarantined)))
		is.Equal(w.Header().Get("Retry-After"), "4.500")
		is.Equal(acquired, 1)
		is.Equal(released, 1)
	})
}

// Guards against further engines that a prompt crashes: its part was quarantined while the
// first attempt was running. The request may have run.
func TestFailedPromptIsNotRetriedOnceQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, quarantine := newPromptFixture(2, reply{delay: time.Second, err: errors.New("connection reset")}, reply{head: testHead(200, "stream"), body: events(1, 2)})
		time.AfterFunc(500*time.Millisecond, quarantine)
		w, cut := f.serve("/p/x", "r1", "")
		is.True(!cut)
		is.Equal(len(f.servers.requests), 1)
		is.Equal(w.Code, http.StatusBadGateway)
	})
}

// Guards against prompts that crash engines where the response is no event stream: its end was
// not taken for a crash, nor a sound one for a response that clears the prompt's parts.
func TestCrashInPlainResponseIsObserved(t *testing.T) {
	for _, tt := range []struct {
		name             string
		reply            reply
		crashed, cleared bool
	}{
		{"before the header", reply{err: errors.New("connection reset")}, true, false},
		{"before the first byte", reply{head: testHead(200, ""), truncated: true}, true, false},
		{"after the first byte", reply{head: testHead(200, ""), body: "{", truncated: true}, true, false},
		{"after it was forwarded in part", reply{head: testHead(200, ""), body: strings.Repeat("x", maxBufferedResponse+1), truncated: true}, false, true},
		{"not at all", reply{head: testHead(200, ""), body: "whole"}, false, true},
		{"not at all, without a body", reply{head: testHead(200, "")}, false, true},
		{"in an error response", reply{head: testHead(500, ""), body: "{", truncated: true}, true, false},
		{"not at all, with an error response", reply{head: testHead(500, ""), body: "failed"}, false, false},
		{"not at all, with a rejection", reply{head: testHead(503, "notrun")}, false, false},
		{"not at all, with a response to another request", reply{head: testHead(200, "other")}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f, _ := newPromptFixture(1, tt.reply)
			p := f.handler.Prompts
			for _, engine := range []string{"a", "b"} { // suspected twice: other nodes are told of a response
				p.ObserveCrash(time.Now(), backend.PromptCrash{Incarnation: engine, RequestID: engine, Parts: []string{"bad"}})
			}
			p.TakeEvents()
			f.serve("/p/x", "r1", "")
			e := p.TakeEvents()
			is.Equal(len(e.Crashes) == 1, tt.crashed)
			is.Equal(len(e.Cleared) == 1, tt.cleared)
		})
	}
}

// Guards against engines that a leaving caller, or the deadline, seems to crash.
func TestDeadlineInPlainResponseIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newPromptFixture(1, reply{head: testHead(200, ""), body: "{", truncated: true, bodyDelay: time.Minute})
		f.serve("/p/x", "r1", "")
		is.New(t).True(f.handler.Prompts.TakeEvents().IsEmpty())
	})
}
