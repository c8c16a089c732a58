package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	// loadBeforeStop is how long requests run before SIGTERM.
	loadBeforeStop = time.Second
	// outOfRotation is when the load balancer has asked a node twice in vain, once a second,
	// and opens no new connection to it.
	outOfRotation = 2 * time.Second
	// loadAfterStop is how long callers go on. The daemon's listener is closed by then.
	loadAfterStop = 4 * time.Second
	reconnectWait = 50 * time.Millisecond
	maxThinkTime  = 900 * time.Millisecond
)

// loadCaller is a kind of callers, each with one connection at a time.
type loadCaller struct {
	name     string
	count    int
	thinks   bool // it waits between requests, so that its connection is idle
	persists bool // it opens connections until the listener is closed
}

var loadCallers = []loadCaller{
	{name: "busy", count: 200},
	{name: "thinking", count: 100, thinks: true},
	{name: "persistent", count: 50, persists: true},
}

// sentRequest is a request of which at least a part was written.
type sentRequest struct {
	id     string
	sent   time.Time
	answer answer
}

// loadRun collects what callers sent.
type loadRun struct {
	address  string
	request  func(id string) string
	stopping chan struct{} // closed at SIGTERM
	stopTime time.Time     // set before stopping is closed

	mu   sync.Mutex
	sent []sentRequest
}

// sinceStop returns the time since SIGTERM, or a negative one before it.
func (l *loadRun) sinceStop() time.Duration {
	select {
	case <-l.stopping:
		return time.Since(l.stopTime)
	default:
		return -1
	}
}

// call sends requests until the daemon is gone.
func (l *loadRun) call(k loadCaller, number int) {
	rng := rand.New(rand.NewPCG(1, uint64(number)))
	for n := 0; l.sinceStop() < loadAfterStop && (k.persists || l.sinceStop() < outOfRotation); time.Sleep(reconnectWait) {
		c := dialStop(l.address)
		if c.err != nil {
			continue
		}
		for open := true; open; n++ {
			id := fmt.Sprintf("%s-%d-%d", k.name, number, n)
			sent := time.Now()
			c.write(l.request(id))
			a := c.read()
			open = a.status > 0 && a.err == nil && !a.close
			l.mu.Lock()
			l.sent = append(l.sent, sentRequest{id, sent, a})
			l.mu.Unlock()
			if open && k.thinks {
				time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
			}
			if open && n%97 == 0 && k.thinks { // idle beyond the time at which idle connections are closed
				time.Sleep(time.Duration(rng.Int64N(int64(loadAfterStop))))
			}
		}
		c.close()
	}
}

// A planned stop under load cuts requests on kept connections: what is written in the
// moment of the stop is read and dropped, or its response is lost.
func TestStopUnderLoadOnPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startStopPlatform(t, 1)
	d := p.daemons[0]
	l := &loadRun{address: d.callers, stopping: make(chan struct{}), request: func(id string) string { return stopRequest("fast", id, 0) }}
	var wg sync.WaitGroup
	for _, k := range loadCallers {
		for i := range k.count {
			wg.Go(func() { l.call(k, i) })
		}
	}
	time.Sleep(loadBeforeStop)
	is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
	l.stopTime = time.Now()
	close(l.stopping)
	d.checkExit(t, l.stopTime)
	wg.Wait()

	written, err := os.ReadFile(d.log)
	is.NoErr(err)
	processed := map[string]bool{}
	for line := range strings.Lines(string(written)) {
		if _, rest, ok := strings.Cut(line, `"id":"`); ok {
			id, _, _ := strings.Cut(rest, `"`)
			processed[id] = true
		}
	}
	executions := p.replicas["fast"].Record().Executions
	l.check(t, platformSaysNotRun, func(r sentRequest) (int, bool) {
		if r.answer.status == 200 && r.answer.body != standin.PlainResponse(r.id) {
			t.Errorf("%s got the body %q", r.id, r.answer.body)
		}
		return executions[r.id], processed[r.id]
	})
}

// check checks each request. trace returns how often it began to run, and whether the
// daemon processed it.
func (l *loadRun) check(t *testing.T, saysNotRun func(answer) bool, trace func(sentRequest) (runs int, processed bool)) {
	t.Helper()
	counts := map[verdict]int{}
	before, failed := 0, 0
	for _, r := range l.sent {
		v, after := r.answer.verdict(saysNotRun), r.sent.Sub(l.stopTime)
		counts[v]++
		if after < 0 {
			before++
		}
		runs, processed := trace(r)
		switch {
		case v == answered && runs == 1:
			continue
		case v == refused && runs == 0:
			continue
		case v == unread && runs == 0 && !processed && after >= outOfRotation:
			continue // the node had left the rotation, and had closed the connection or was about to
		}
		if failed++; failed <= 10 {
			t.Errorf("%s, sent %v after SIGTERM, was %s, began to run %d times, processed %v: %v", r.id, after, v, runs, processed, r.answer)
		}
	}
	if failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	if before == 0 || counts[answered] <= before {
		t.Errorf("no load at the stop: %d requests before, %v", before, counts)
	}
	t.Logf("%d requests, %.0f a second before SIGTERM: %v", len(l.sent), float64(before)/loadBeforeStop.Seconds(), counts)
}
