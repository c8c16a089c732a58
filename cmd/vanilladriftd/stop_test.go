package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// stopGrace is the grace period that the settings file states, from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
	// withinGrace is a time after SIGTERM at which requests are still accepted.
	withinGrace = time.Second
	// lateInGrace is a time after SIGTERM at which the listener is closed already.
	lateInGrace = 4 * time.Second
	// stopAlternationGap is the lease that the settings file states.
	stopAlternationGap = 3 * time.Second
	// startTimeout bounds the start of a daemon until it serves every pool.
	startTimeout = 30 * time.Second
)

// stopConfig has a pool for each way in which a request can be under way. No route's
// timeout ends before the grace period.
const stopConfig = `{"version": 1, "routes": [
  {"name": "chat", "host": "a.example", "prefix": "/chat/", "type": "stream", "timeout_ms": 20000, "target_latency_ms": 500, "gap_aim_ms": 250, "service": "engines", "max_attempts": 2},
  {"name": "taken", "host": "a.example", "prefix": "/taken/", "type": "stream", "timeout_ms": 20000, "target_latency_ms": 20000, "gap_aim_ms": 250, "service": "taken", "max_attempts": 2},
  {"name": "freed", "host": "a.example", "prefix": "/freed/", "type": "stream", "timeout_ms": 20000, "target_latency_ms": 20000, "gap_aim_ms": 250, "service": "freed", "max_attempts": 2},
  {"name": "fast", "host": "a.example", "prefix": "/fast/", "type": "non_idempotent", "timeout_ms": 20000, "target_latency_ms": 300, "service": "fast", "max_attempts": 1},
  {"name": "slow", "host": "a.example", "prefix": "/slow/", "type": "non_idempotent", "timeout_ms": 20000, "target_latency_ms": 300, "service": "slow", "max_attempts": 1},
  {"name": "silent", "host": "a.example", "prefix": "/silent/", "type": "non_idempotent", "timeout_ms": 20000, "target_latency_ms": 300, "service": "silent", "max_attempts": 1}],
 "services": [
  {"name": "engines", "max_connections": 100, "engine": {"slots": 16, "kv_capacity": 250000, "adapter_slots": 4, "stride": 1, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.1}]}},
  {"name": "taken", "max_connections": 100, "engine": {"slots": 1, "kv_capacity": 250000, "adapter_slots": 4, "stride": 1, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.1}]}},
  {"name": "freed", "max_connections": 100, "engine": {"slots": 1, "kv_capacity": 250000, "adapter_slots": 4, "stride": 1, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.1}]}},
  {"name": "fast", "max_connections": 400}, {"name": "slow", "max_connections": 100}, {"name": "silent", "max_connections": 100}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}`

// stopPlatform is a stand-in of the platform with processes of the daemon.
type stopPlatform struct {
	t        *testing.T
	bin      string
	store    *standin.Store
	replicas map[string]*standin.Replica // by pool
	addr     string                      // of the store
	limits   string                      // of the daemons, as the settings file states them
	warm     []string                    // paths that a daemon must serve before a test begins
	daemons  []*stopDaemon
}

// stopDaemon is a process of the daemon on the platform's front.
type stopDaemon struct {
	name    string
	cmd     *exec.Cmd
	callers string
	ready   string
	// operators is the address of the metrics.
	operators string
	peers     string
	log       string        // path of what it writes
	exited    chan struct{} // closed after the process has ended and err is set
	err       error
	end       time.Time
}

func startStopPlatform(t *testing.T, daemons int) *stopPlatform {
	t.Helper()
	p := &stopPlatform{t: t, limits: "memory_mb: 160", warm: []string{"chat", "taken", "freed", "fast"}}
	p.start(daemons, stopConfig, []*standin.Replica{
		{Self: backend.Server{Pool: "engines", MaxRequests: 16}, Model: "base", EventTime: 100 * time.Millisecond},
		{Self: backend.Server{Pool: "taken", MaxRequests: 1}, Model: "base", EventTime: 100 * time.Millisecond},
		{Self: backend.Server{Pool: "freed", MaxRequests: 1}, Model: "base", EventTime: 100 * time.Millisecond},
		{Self: backend.Server{Pool: "fast", MaxRequests: 400}, EventTime: 5 * time.Millisecond},
		{Self: backend.Server{Pool: "slow", MaxRequests: 100}, EventTime: 3 * time.Second},
		{Self: backend.Server{Pool: "silent", MaxRequests: 100}, EventTime: 3 * stopGrace},
	})
	return p
}

// start starts the platform's store, replicas and daemons.
func (p *stopPlatform) start(daemons int, config string, replicas []*standin.Replica) {
	p.t.Helper()
	p.bin, p.store, p.replicas = filepath.Join(p.t.TempDir(), "vanilladriftd"), &standin.Store{}, map[string]*standin.Replica{}
	if out, err := exec.Command("go", "build", "-o", p.bin, ".").CombinedOutput(); err != nil {
		p.t.Fatalf("build: %v\n%s", err, out)
	}
	p.addr = p.serve(p.store)
	p.store.Put(platform.ConfigRowKey, []byte(config))
	for _, r := range replicas {
		r.AdapterSlots, r.QueueSize, r.Self.ID = 4, 400, r.Self.Pool+"-1"
		key := platform.ServersTable + "/" + r.Self.ID
		r.WriteRow = func(row []byte) { p.store.Put(key, row) }
		r.Self.Address = p.serve(r)
		r.Start()
		p.replicas[r.Self.Pool] = r
	}
	p.t.Cleanup(p.close)
	for range daemons {
		p.startDaemon()
	}
	for _, d := range p.daemons {
		p.waitServes(d)
	}
}

// serve serves h on loopback until the test ends, and returns its address.
func (p *stopPlatform) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	p.t.Cleanup(func() { srv.CloseClientConnections() })
	return srv.Listener.Addr().String()
}

// freePair returns two free ports, the second after the first.
func (p *stopPlatform) freePair() int {
	_, first := freeAddress(p.t)
	for {
		_, second := freeAddress(p.t)
		if second == first+1 {
			return first
		}
		first = second
	}
}

func (p *stopPlatform) startDaemon() {
	p.t.Helper()
	dir, name := p.t.TempDir(), fmt.Sprintf("front-%d", len(p.daemons)+1)
	d := &stopDaemon{name: name, log: filepath.Join(dir, "log"), exited: make(chan struct{})}
	d.callers, _ = freeAddress(p.t)
	d.ready, _ = freeAddress(p.t)
	peers := p.freePair()
	d.peers, d.operators = fmt.Sprintf("127.0.0.1:%d", peers), fmt.Sprintf("127.0.0.1:%d", peers+1)
	file := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf(`{node_name: %s, ip: 127.0.0.1, zone: z1, region: r1, listen_addrs: {front: "%s", ready: "%s"}, internal_ports: [%d, %d],
 limits: {%s}, bounds: {lease_ms: %d, drain_ms: 2000, grace_s: %v, retry_budget_ratio: 0.2, retry_window_s: 10, retry_budget_slack: 54},
 heartbeat_ms: 1000, platform: {address: "%s"}}`, name, d.callers, d.ready, peers, peers+1, p.limits, stopAlternationGap.Milliseconds(), stopGrace.Seconds(), p.addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	out, err := os.Create(d.log)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	d.cmd = exec.Command(p.bin, "platform", "--settings", file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(d.exited)
		d.err, d.end = d.cmd.Wait(), time.Now()
	}()
	p.daemons = append(p.daemons, d)
}

// waitServes waits until a daemon serves every pool.
func (p *stopPlatform) waitServes(d *stopDaemon) {
	p.t.Helper()
	for _, path := range p.warm {
		for i, start := 0, time.Now(); ; i++ {
			a := p.request(d, path, fmt.Sprint("warm-", d.name, "-", path, i), 1)
			if a.status == http.StatusOK {
				break
			}
			if time.Since(start) > startTimeout {
				p.t.Fatalf("%s does not serve %s: %v", d.name, path, a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stableOwners is how long the owners of the engines must not have changed: each daemon
// has then read which others there are.
const stableOwners = 2500 * time.Millisecond

// waitOwned waits until every engine has an owner that queues requests, and returns the
// daemon that owns the engine of a pool.
func (p *stopPlatform) waitOwned(pool string) *stopDaemon {
	p.t.Helper()
	owners := map[string]string{}
	since := time.Now()
	for start := time.Now(); time.Since(since) < stableOwners || len(owners) < 3; time.Sleep(20 * time.Millisecond) {
		now := map[string]string{}
		for _, row := range p.store.Rows(table.OwnerPrefix) {
			if o, err := table.DecodeOwner(row); err == nil && o.Node != "" {
				now[o.Engine] = o.Node
			}
		}
		if !maps.Equal(now, owners) {
			owners, since = now, time.Now()
		}
		if time.Since(start) > startTimeout {
			p.t.Fatalf("no stable owners: %v", owners)
		}
	}
	for _, path := range []string{"chat", "taken", "freed"} {
		p.waitGranted(path)
	}
	for _, d := range p.daemons {
		if d.name == owners[pool+"-1"] {
			return d
		}
	}
	p.t.Fatalf("no daemon owns the engine: %v", owners)
	return nil
}

// waitGranted waits until a request gets a grant. Without one it is sent as well, while
// the owner does not know yet what runs.
func (p *stopPlatform) waitGranted(path string) {
	p.t.Helper()
	d := p.daemons[0]
	for i, start := 0, time.Now(); ; i++ {
		c := dialStop(d.callers)
		c.write(stopRequest(path, fmt.Sprint("probe-", path, i), 3))
		_, err := c.r.ReadSlice('\n') // the stream has begun
		granted := err == nil && p.gauge(d, "streams") == 1
		c.close() // the daemon cancels the stream
		p.waitIdle(d)
		if granted {
			return
		}
		if time.Since(start) > startTimeout {
			p.t.Fatalf("no grants for %s", path)
		}
	}
}

// waitIdle waits until no stream of a daemon has a grant.
func (p *stopPlatform) waitIdle(d *stopDaemon) {
	for start := time.Now(); p.gauge(d, "streams") > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > startTimeout {
			p.t.Fatal("streams that were closed go on")
		}
	}
}

// gauge returns the value of a gauge of a daemon.
func (p *stopPlatform) gauge(d *stopDaemon, name string) int {
	resp, err := http.Get("http://" + d.operators + "/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "vanilladrift_"+name) {
			fields := strings.Fields(line)
			n, _ := strconv.Atoi(fields[len(fields)-1]) // another form gives 0, which no caller wants
			return n
		}
	}
	p.t.Fatalf("no gauge %s in %s", name, text)
	return 0
}

// checkOwners checks all commands that arrived at the engines.
func (p *stopPlatform) checkOwners() {
	p.t.Helper()
	for _, r := range p.replicas {
		for _, v := range standin.OwnerViolations(r.Self.ID, r.Record().Commands, false, stopAlternationGap) {
			p.t.Error(v)
		}
	}
}

func (p *stopPlatform) close() {
	for _, d := range p.daemons {
		select {
		case <-d.exited:
		default:
			_ = d.cmd.Process.Kill() // it may have ended meanwhile
			<-d.exited
		}
		if p.t.Failed() {
			written, err := os.ReadFile(d.log)
			p.t.Logf("a daemon wrote (reading it: %v):\n%s", err, written)
		}
	}
	p.checkOwners()
}

// head returns the head of a request whose body has the given length.
func stopHead(path, id string, events, bodyBytes int) string {
	h := http.Header{}
	head := relay.RequestHead{ID: id, Timeout: 20 * time.Second}
	if events > 0 {
		head.Model, head.PromptTokens, head.MaxTokens = "base", 1, events
	}
	platform.EncodeRequestHead(h, head)
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n", path, bodyBytes)
	_ = h.Write(&b) // a builder returns no error
	return b.String() + "\r\n"
}

// stopRequest returns a whole request.
func stopRequest(path, id string, events int) string {
	return stopHead(path, id, events, len(stopBody)) + stopBody
}

const stopBody = "the body of a request"

// request sends one request on a new connection.
func (p *stopPlatform) request(d *stopDaemon, path, id string, events int) answer {
	c := dialStop(d.callers)
	if c.err != nil {
		return answer{err: c.err}
	}
	defer c.close()
	if path == "fast" || path == "slow" || path == "silent" {
		events = 0
	}
	c.write(stopRequest(path, id, events))
	return c.read()
}

// executions returns how often a request began to run on any replica.
func (p *stopPlatform) executions(id string) int {
	n := 0
	for _, r := range p.replicas {
		n += r.Record().Executions[id]
	}
	return n
}

// platformSaysNotRun tells which responses are a promise on the platform.
func platformSaysNotRun(a answer) bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkExit fails the test unless the daemon ends with status 0 within its grace period.
func (d *stopDaemon) checkExit(t *testing.T, signalled time.Time) {
	t.Helper()
	select {
	case <-d.exited:
	case <-time.After(time.Until(signalled.Add(stopGrace))):
		t.Errorf("the daemon still runs %v after SIGTERM", stopGrace)
		_ = d.cmd.Process.Signal(syscall.SIGQUIT) // it logs what it waits for, unless it has ended meanwhile
		<-d.exited
		return
	}
	if took := d.end.Sub(signalled); d.err != nil || took > stopGrace {
		t.Errorf("the daemon ended with %v, %v after SIGTERM", d.err, took)
	}
}

// stopPoint is a point at which a request is when SIGTERM comes.
type stopPoint struct {
	name   string
	path   string // pool or route; fast if empty
	events int
	before func(c *stopClient, head, body string) // until SIGTERM comes
	after  func(c *stopClient, head, body string) // after it
	want   []verdict
	// notBefore is the earliest time after SIGTERM at which the answer may end.
	notBefore time.Duration
	closes    bool // the response must ask the caller to close the connection
}

var (
	whole    = func(c *stopClient, head, body string) { c.write(head, body) }
	nothing  = func(*stopClient, string, string) {}
	halfHead = func(c *stopClient, head, _ string) { c.write(head[:len(head)/2]) }
	restHead = func(c *stopClient, head, body string) { c.write(head[len(head)/2:], body) }
	halfBody = func(c *stopClient, head, body string) { c.write(head, body[:len(body)/2]) }
	restBody = func(c *stopClient, _, body string) { c.write(body[len(body)/2:]) }
)

// served sends a first request, whose connection is then kept.
func served(c *stopClient, _, _ string) {
	c.write(c.first)
	if a := c.read(); a.status != http.StatusOK || a.close {
		c.err = fmt.Errorf("first request: %v", a)
	}
}

func at(d time.Duration, f func(c *stopClient, head, body string)) func(c *stopClient, head, body string) {
	return func(c *stopClient, head, body string) {
		time.Sleep(d)
		f(c, head, body)
	}
}

// stopPoints has each point of a request. What is late begins after the listener closed.
var stopPoints = []stopPoint{
	{name: "accepted", before: nothing, after: at(withinGrace, whole), want: []verdict{answered}, closes: true},
	{name: "accepted, late", before: nothing, after: at(lateInGrace, whole), want: []verdict{refused, unread}},
	{name: "accepted, silent", before: nothing, after: nothing, want: []verdict{unread}},
	{name: "half a head", before: halfHead, after: at(withinGrace, restHead), want: []verdict{answered}, closes: true},
	{name: "half a head, late", before: halfHead, after: at(lateInGrace, restHead), want: []verdict{refused}, closes: true},
	{name: "half a head, silent", before: halfHead, after: nothing, want: []verdict{refused}, closes: true},
	{name: "half a body", before: halfBody, after: at(withinGrace, restBody), want: []verdict{answered}, closes: true},
	{name: "half a body, late", before: halfBody, after: at(lateInGrace, restBody), want: []verdict{answered, refused}, closes: true},
	{name: "half a body, silent", before: halfBody, after: nothing, want: []verdict{refused}, closes: true},
	{name: "queued", path: "freed", events: 1, before: whole, after: nothing, want: []verdict{answered}, closes: true},
	{name: "queued to the end", path: "taken", events: 1, before: whole, after: nothing, want: []verdict{refused}, closes: true},
	{name: "sent", path: "slow", before: whole, after: nothing, want: []verdict{answered}, closes: true},
	{name: "sent, no answer", path: "silent", before: whole, after: nothing, want: []verdict{unknown}, notBefore: stopGrace - stopGrace/6, closes: true},
	{name: "stream", path: "chat", events: 30, before: whole, after: nothing, want: []verdict{answered}},
	{name: "stream without end", path: "chat", events: 200, before: whole, after: nothing, want: []verdict{cut}, notBefore: stopGrace - stopGrace/6},
	{name: "idle", before: served, after: whole, want: []verdict{answered}}, // it may be answered before the process handles the signal
	{name: "idle, later", before: served, after: at(withinGrace, whole), want: []verdict{answered}, closes: true},
	{name: "idle, late", before: served, after: at(lateInGrace, whole), want: []verdict{refused, unread}},
	{name: "idle, silent", before: served, after: nothing, want: []verdict{unread}},
}

// A planned stop cuts requests that were accepted: net/http closes without an answer
// what it reads after Shutdown, and the end of the grace period cuts what still waits.
func TestStopAtEachPointOnPlatform(t *testing.T) {
	t.Parallel()
	for _, ownerStops := range []bool{false, true} {
		t.Run(fmt.Sprint("owner stops ", ownerStops), func(t *testing.T) {
			t.Parallel()
			testStopAtEachPoint(t, ownerStops)
		})
	}
}

// testStopAtEachPoint stops a daemon, which owns the engine of a queue if ownerStops is set.
func testStopAtEachPoint(t *testing.T, ownerStops bool) {
	is := is.New(t)
	p := startStopPlatform(t, 2)
	d, other := p.waitOwned("taken"), p.daemons[1]
	if d == other {
		other = p.daemons[0]
	}
	if !ownerStops {
		d, other = other, d
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for path, events := range map[string]int{"taken": 300, "freed": 30} { // fill the engines' only place
		c := dialStop(other.callers)
		is.NoErr(c.err)
		defer c.close()
		c.write(stopRequest(path, "fills-"+path, events))
		_, err := c.r.ReadSlice('\n') // the stream has begun
		is.NoErr(err)
	}

	clients := make([]*stopClient, len(stopPoints))
	parts := func(i int) (head, body string) {
		pt := stopPoints[i]
		return stopHead(orFast(pt.path), stopID(pt), pt.events, len(stopBody)), stopBody
	}
	for i, pt := range stopPoints {
		clients[i] = dialStop(d.callers)
		is.NoErr(clients[i].err)
		defer clients[i].close()
		clients[i].first = stopRequest("fast", "first-"+stopID(pt), 0)
		head, body := parts(i)
		pt.before(clients[i], head, body)
		is.NoErr(clients[i].err)
	}
	pipelined := dialStop(d.callers)
	is.NoErr(pipelined.err)
	defer pipelined.close()
	pipelined.write(stopRequest("slow", "pipelined-1", 0), stopRequest("fast", "pipelined-2", 0))
	for start := time.Now(); p.gauge(d, "queue_length")+p.gauge(other, "queue_length") < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > startTimeout {
			t.Fatal("the requests for engines that are taken do not queue")
		}
	}
	time.Sleep(100 * time.Millisecond) // the daemon reads what was written

	is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	answers := make([]answer, len(stopPoints))
	for i, pt := range stopPoints {
		wg.Go(func() {
			head, body := parts(i)
			pt.after(clients[i], head, body)
			answers[i] = clients[i].read()
		})
	}
	first, second := pipelined.read(), pipelined.read()
	d.checkExit(t, signalled)
	wg.Wait()
	for i, pt := range stopPoints {
		if ownerStops && pt.name == "queued to the end" {
			// The next owner does not know yet what runs, so the request goes to the engine.
			pt.want = append(pt.want, unknown)
		}
		t.Run(pt.name, func(t *testing.T) {
			a, runs := answers[i], p.executions(stopID(pt))
			checkStopped(t, pt, a, a.verdict(platformSaysNotRun), runs, a.end.Sub(signalled))
		})
	}
	t.Run("pipelined", func(t *testing.T) {
		is := is.New(t)
		is.Equal(first.verdict(platformSaysNotRun), answered)
		if second.verdict(platformSaysNotRun) == unread {
			is.True(first.close) // the caller is told that nothing after it was read
			is.Equal(p.executions("pipelined-2"), 0)
		} else {
			is.Equal(second.verdict(platformSaysNotRun), answered)
		}
	})
}

func orFast(path string) string {
	if path == "" {
		return "fast"
	}
	return path
}

func stopID(pt stopPoint) string { return strings.NewReplacer(" ", "-", ",", "").Replace(pt.name) }

// checkStopped checks the end of a request, which began to run as often as runs says.
func checkStopped(t *testing.T, pt stopPoint, a answer, got verdict, runs int, after time.Duration) {
	t.Helper()
	ok := false
	for _, want := range pt.want {
		ok = ok || got == want
	}
	if !ok {
		t.Errorf("%s %v after SIGTERM, want %v: %v", got, after, pt.want, a)
	}
	if most := map[verdict]int{answered: 1, unknown: 1, cut: 1}[got]; runs > most {
		t.Errorf("%s, but began to run %d times", got, runs)
	}
	if after < pt.notBefore {
		t.Errorf("ended %v after SIGTERM, want no sooner than %v", after, pt.notBefore)
	}
	if pt.closes && !a.close && got != unread {
		t.Errorf("the response does not ask the caller to close the connection: %v", a)
	}
}

// A store that does not respond must not hold the process beyond its grace period while
// requests are in flight to the end.
func TestStopWhileStoreIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startStopPlatform(t, 1)
	p.waitOwned("taken")
	d := p.daemons[0]
	c := dialStop(d.callers)
	is.NoErr(c.err)
	defer c.close()
	halfBody(c, stopHead("fast", "held", 0, len(stopBody)), stopBody)
	p.store.SetFault(standin.TableFault{Delay: 2 * stopGrace})
	time.Sleep(100 * time.Millisecond) // the daemon reads what was written
	is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	d.checkExit(t, signalled)
	is.Equal(c.read().verdict(platformSaysNotRun), refused)
}
