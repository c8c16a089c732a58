package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
)

const (
	// runDrainGrace and runDrainTimeout are the node's flags. The process ends at the latest
	// when the servers' time to shut down has passed as well.
	runDrainGrace   = 2 * time.Second
	runDrainTimeout = 5 * time.Second
	runStopLimit    = runDrainTimeout + shutdownTimeout
	// runStreamTokens take longer than the drain grace.
	runStreamTokens = 400
)

// runHead returns the head of a request to the OpenAI front.
func runHead(path string, bodyBytes int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer till\r\nContent-Length: %d\r\n\r\n", path, bodyBytes)
}

const (
	placePath      = "/v1/services/ledger/place"
	completionPath = "/v1/completions"
)

func runRequest(body string) string { return runHead(placePath, len(body)) + body }

func runSaysNotRun(a answer) bool { return a.header.Get(caller.HeaderOutcome) == string(caller.NotRun) }

// stopNode sends SIGTERM and returns a function that checks that the process ends in time.
func (p *processCluster) stopNode(name string) (signalled time.Time, checkExit func()) {
	p.signal(name, syscall.SIGTERM)
	signalled = time.Now()
	exited := make(chan error, 1)
	cmd := p.cmds[name]
	go func() { exited <- cmd.Wait() }()
	return signalled, func() {
		p.t.Helper()
		select {
		case err := <-exited:
			if err != nil {
				p.t.Errorf("%s ended with %v", name, err)
			}
		case <-time.After(time.Until(signalled.Add(runStopLimit))):
			p.t.Errorf("%s still runs %v after SIGTERM", name, runStopLimit)
			_ = cmd.Process.Kill() // it may have ended meanwhile
			<-exited
		}
	}
}

func startStopCluster(t *testing.T) *processCluster {
	t.Helper()
	p := startProcessCluster(t, "--drain-grace", runDrainGrace.String(), "--drain-timeout", runDrainTimeout.String())
	t.Cleanup(p.close)
	p.configure()
	p.waitUntil("first requests", p.servesEveryModel)
	return p
}

// A planned stop cuts requests that were accepted, as on the platform's front.
func TestStopAtEachPointOnOpenAIFront(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startStopCluster(t)
	points := slices.DeleteFunc(slices.Clone(stopPoints), func(pt stopPoint) bool { return pt.path != "" })
	points = append(points, stopPoint{name: "stream", path: completionPath, before: whole, after: nothing, want: []verdict{answered}})
	parts := func(pt stopPoint) (head, body string) {
		body = "order of " + stopID(pt)
		if pt.path != "" {
			body = fmt.Sprintf(`{"model":"a0","prompt":"p","max_tokens":%d,"stream":true}`, runStreamTokens)
			return runHead(pt.path, len(body)), body
		}
		return runHead(placePath, len(body)), body
	}
	clients := make([]*stopClient, len(points))
	for i, pt := range points {
		clients[i] = dialStop(p.address("node0 callers"))
		is.NoErr(clients[i].err)
		defer clients[i].close()
		clients[i].first = runRequest("first order of " + stopID(pt))
		head, body := parts(pt)
		pt.before(clients[i], head, body)
		is.NoErr(clients[i].err)
	}
	time.Sleep(100 * time.Millisecond) // the node reads what was written
	signalled, checkExit := p.stopNode("node0")
	answers := make([]answer, len(points))
	var wg sync.WaitGroup
	for i, pt := range points {
		wg.Go(func() {
			head, body := parts(pt)
			pt.after(clients[i], head, body)
			answers[i] = clients[i].read()
		})
	}
	checkExit()
	wg.Wait()
	executed := map[string]int{}
	p.readRecord("service", &executed)
	for i, pt := range points {
		t.Run(pt.name, func(t *testing.T) {
			a := answers[i]
			_, body := parts(pt)
			if pt.path != "" && a.err == nil && !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
				t.Errorf("the stream has no end marker: %v", a)
			}
			checkStopped(t, pt, a, a.verdict(runSaysNotRun), executed[body], a.end.Sub(signalled))
		})
	}
}

// A planned stop under load cuts requests on kept connections, as on the platform's front.
func TestStopUnderLoadOnOpenAIFront(t *testing.T) {
	t.Parallel()
	p := startStopCluster(t)
	l := &loadRun{address: p.address("node0 callers"), stopping: make(chan struct{}), request: runRequest}
	var wg sync.WaitGroup
	for _, k := range loadCallers {
		for i := range k.count / 2 { // each call opens a connection to the service
			wg.Go(func() { l.call(k, i) })
		}
	}
	time.Sleep(loadBeforeStop)
	signalled, checkExit := p.stopNode("node0")
	l.stopTime = signalled
	close(l.stopping)
	checkExit()
	wg.Wait()
	executed := map[string]int{}
	p.readRecord("service", &executed)
	l.check(t, runSaysNotRun, func(r sentRequest) (int, bool) {
		if r.answer.status == http.StatusOK && r.answer.header.Get(caller.HeaderOutcome) != string(caller.Ran) {
			t.Errorf("%s is answered without an outcome: %v", r.id, r.answer)
		}
		return executed[r.id], executed[r.id] > 0
	})
}
