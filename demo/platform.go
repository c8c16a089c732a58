package demo

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// drainPeriod is how long a draining replica continues to serve. New requests must
// stop within it.
const drainPeriod = 2 * time.Second

// RunPlatform runs the daemons on a stand-in of the users' platform, and returns
// an [Error] if a guarantee was violated. The daemons log to logOut.
func RunPlatform(o Options, logOut io.Writer) error {
	return runPlatform(o, entry.Network{}, logOut)
}

func runPlatform(o Options, n entry.Network, logOut io.Writer) error {
	logf := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	logf("starting a stand-in of the platform, %d replicas and %d daemons", replicaCount+ledgerCount, daemonCount)
	search := &keySearch{out: logOut}
	sys, err := newPlatformSystem(n, search)
	if err != nil {
		return err
	}
	defer sys.close()
	if err := sys.waitReady(); err != nil {
		return err
	}
	t := newPlatformTraffic(sys, o.Seed)
	portion := o.Requests / 7
	logf("adding client accounts")
	t.addAccounts()
	logf("sending requests while replicas refuse some and send some responses a second time, late")
	t.sendWhileReplicasCopy(portion)
	logf("publishing versions while replicas lose commands and apply them late")
	t.publishVersions(portion)
	logf("restarting a replica without adapters while streams are cut or stall, responses are lost, and some end with their connection")
	sys.replicas[1].SetFault(standin.ReplicaFault{CutStreams: 5})
	sys.replicas[2].SetFault(standin.ReplicaFault{
		CutStreams: 5, Unframed: true,
		Drip: standin.Drip{Streams: 5, After: 2, Text: ": ping\n\n", Interval: 100 * time.Millisecond},
	})
	sys.ledgers[0].SetFault(standin.ReplicaFault{LoseResponses: 5})
	sys.ledgers[1].SetFault(standin.ReplicaFault{Unframed: true})
	sys.replicas[0].Restart()
	t.run(portion)
	logf("sending a request again and again that crashes each server that runs it")
	t.crashServers()
	logf("making the servers brittle, while some fall silent for a second")
	t.sendWhileServersAreBrittle(portion)
	logf("cutting the daemon at %s off from all servers", sys.callerAddrs[0])
	t.sendWhileCutOff(portion)
	logf("replacing the key of a client account")
	t.replaceKey()
	logf("draining a replica while the store loses responses and its history")
	t.drainReplica(portion)
	logf("stopping the daemon at %s", sys.callerAddrs[0])
	t.stopDaemon(o.Requests - 6*portion)
	t.collect()
	t.result.LoggedKeys = int(search.found.Load())
	return summarize(o, t.result, t.result.print, t.result.violations())
}

// sendWhileReplicasCopy sends requests while replicas refuse some and send some responses to
// requests, commands and reports a second time, where the next one is due.
func (t *platformTraffic) sendWhileReplicasCopy(n int) {
	var requests atomic.Int64
	for _, r := range slices.Concat(t.sys.replicas, t.sys.ledgers) {
		r.SetFault(standin.ReplicaFault{IsFull: func() bool { return requests.Add(1)%refusalInterval == 0 }})
	}
	t.sys.copiesLate.Store(true)
	t.run(n)
	t.sys.copiesLate.Store(false)
	for _, r := range slices.Concat(t.sys.replicas, t.sys.ledgers) {
		r.SetFault(standin.ReplicaFault{})
	}
}

// refusalInterval is the number of requests for each that a replica refuses as if it were full.
const refusalInterval = 5

const (
	// refusalsBorne is the number of refusals a second that brittle servers bear.
	refusalsBorne   = 4
	brittleDowntime = 2 * time.Second
	// maxFalls bounds the falls of fewer than ten brittle servers, for engines and plain servers together. The
	// platform defines it for each service.
	maxFalls = 2
	// brittleLearningTime is how long servers state that they are brittle before they let fewer wait. The
	// platform defines it.
	brittleLearningTime = 3 * time.Second
	// silence is how long a sound server may be silent.
	silence = 1200 * time.Millisecond
)

// sendWhileServersAreBrittle sends requests while the servers let none wait and fall over if they turn many
// away, and one of each kind falls silent.
func (t *platformTraffic) sendWhileServersAreBrittle(n int) {
	servers, queue := slices.Concat(t.sys.replicas, t.sys.ledgers), 0
	for _, r := range servers {
		r.SetFault(standin.ReplicaFault{Brittle: refusalsBorne, BrittleDowntime: brittleDowntime})
	}
	end := time.Now().Add(brittleLearningTime)
	t.run(n / 2)
	time.Sleep(time.Until(end))
	for _, r := range servers {
		r.SetFault(standin.ReplicaFault{Brittle: refusalsBorne, BrittleDowntime: brittleDowntime, BrittleQueue: &queue})
	}
	t.sys.replicas[0].FallSilent(silence)
	t.sys.ledgers[0].FallSilent(silence)
	t.run(n - n/2)
	for _, r := range servers {
		r.SetFault(standin.ReplicaFault{})
		t.result.Falls += r.Record().Falls
	}
}

// sendWhileCutOff sends requests while the first daemon gets no connections to servers.
func (t *platformTraffic) sendWhileCutOff(n int) {
	t.sys.isCutOff.Store(true)
	t.run(n)
	t.sys.isCutOff.Store(false)
}

// publishVersions publishes new versions of the most used adapters. After
// versionDeadline, callers must get them.
func (t *platformTraffic) publishVersions(n int) {
	for _, r := range t.sys.replicas {
		r.SetFault(standin.ReplicaFault{LoseCommands: 3, CommandDelay: 700 * time.Millisecond})
	}
	const adapters = 5
	for i := range adapters {
		t.sys.publishVersion(fmt.Sprintf("a%d", i+1), 2)
	}
	deadline := time.Now().Add(versionDeadline)
	t.run(n / 2)
	time.Sleep(time.Until(deadline))
	t.mu.Lock()
	for i := range adapters {
		t.requiredVersions[fmt.Sprintf("a%d", i+1)] = 2
	}
	t.mu.Unlock()
	t.run(n - n/2)
}

const (
	// crashLearningTime and maxLateArrivals bound what may still be sent of a request that has
	// crashed crashesToLearn servers. The platform defines them.
	crashLearningTime = 3 * time.Second
	maxLateArrivals   = 3
	crashesToLearn    = 3
	// crashInterval is the time between two attempts of a request that crashes servers.
	crashInterval = 200 * time.Millisecond
)

// crashServers sends one request again and again that crashes the plain servers.
func (t *platformTraffic) crashServers() {
	const body = "crash"
	for _, r := range t.sys.ledgers {
		r.SetFault(standin.ReplicaFault{CrashBody: body, CrashDowntime: crashInterval})
	}
	for end := time.Now().Add(crashLearningTime + 8*crashInterval); time.Now().Before(end); time.Sleep(crashInterval) {
		t.crashes++
		c := call{route: publicRoute, body: body, head: relay.RequestHead{ID: fmt.Sprintf("crash-%d", t.crashes), Timeout: time.Second}}
		_, _ = t.sendAttempt(&c) // it is not to be served
	}
	t.result.LateArrivals = lateArrivals(t.sys.ledgers, crashesToLearn)
	for _, r := range t.sys.ledgers {
		r.SetFault(standin.ReplicaFault{})
	}
}

// lateArrivals returns how often requests that crash servers arrived later than crashLearningTime
// after the nth crash.
func lateArrivals(servers []*standin.Replica, n int) (late int) {
	var crashes, arrivals []time.Time
	for _, r := range servers {
		rec := r.Record()
		crashes, arrivals = append(crashes, rec.RequestCrashes...), append(arrivals, rec.CrashingArrivals...)
	}
	if len(crashes) < n {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for _, at := range arrivals {
		if at.After(crashes[n-1].Add(crashLearningTime)) {
			late++
		}
	}
	return late
}

// drainReplica drains a replica while the store fails. No request may start on it
// after drainPeriod.
func (t *platformTraffic) drainReplica(n int) {
	var calls atomic.Int64
	t.sys.store.SetFault(standin.TableFault{LoseResponse: func(table.Tx) bool { return calls.Add(1)%3 == 0 }})
	t.sys.store.DropHistory()
	draining := t.sys.replicas[replicaCount-1]
	draining.Drain()
	deadline := time.Now().Add(drainPeriod)
	t.run(n / 2)
	time.Sleep(time.Until(deadline))
	before := len(draining.Record().Executions)
	t.sys.removeReplica(draining)
	t.sys.store.SetFault(standin.TableFault{})
	t.run(n - n/2)
	t.result.StartedAfterDrain = len(draining.Record().Executions) - before
}

// stopDaemon stops a daemon as SIGTERM does, while requests run. The balancer removes
// the daemon a second or two after it stops being ready.
func (t *platformTraffic) stopDaemon(n int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.sys.daemons[0].Close()
	}()
	go func() {
		time.Sleep(1500 * time.Millisecond)
		t.removeDaemon(0)
	}()
	t.run(n)
	<-done
	t.sys.daemons[0] = nil
}

func (r PlatformResult) violations() []string {
	violations := violationsOf(
		counter{r.WrongBytes, "responses with wrong bytes"},
		counter{r.WrongVersion, "responses from the wrong adapter or version"},
		counter{r.RanTwice, "orders run twice"},
		counter{r.NotRunButRan, "requests reported as not run but executed"},
		counter{r.EngineCrashes, "engine crashes caused by load commands"},
		counter{r.OwnerAlternations, "times that an engine went back to a former owner too soon"},
		counter{r.MixedBuilds, "streams with events of two software versions"},
		counter{max(0, r.LateArrivals-maxLateArrivals), "requests too many that had crashed three servers"},
		counter{r.WithKey, "requests that replicas got with the key of a client account"},
		counter{r.WrongAccount, "requests run under another client account"},
		counter{r.LoggedKeys, "lines of the daemons' log with a key"},
		counter{r.Admitted, "requests without a valid key that were not refused for good"},
		counter{max(0, r.Falls-maxFalls), "falls of brittle servers too many"},
		counter{r.StartedAfterDrain, "requests started on a replica after its drain period"},
	)
	violations = append(violations, r.OwnerViolations...)
	if r.Served < r.Requests*9/10 {
		violations = append(violations, fmt.Sprintf("only %d of %d requests were served", r.Served, r.Requests))
	}
	return violations
}

func (r PlatformResult) print(w io.Writer) {
	fmt.Fprintf(w, "requests          %d (%d served, %d failed)\n", r.Requests, r.Served, r.Failed)
	printRefused(w, r.Refused)
	fmt.Fprintf(w, "first event       p50 %d ms, p99 %d ms\n", r.FirstEventP50MS, r.FirstEventP99MS)
	for _, c := range []counter{
		{r.WrongBytes, "wrong bytes"},
		{r.WrongVersion, "wrong version"},
		{r.RanTwice, "ran twice"},
		{r.NotRunButRan, "not run but ran"},
		{r.EngineCrashes, "engine crashes"},
		{r.OwnerAlternations, "owner alternation"},
		{r.StartedAfterDrain, "after drain"},
		{r.LateArrivals, "crashing requests"},
		{r.Falls, "brittle falls"},
		{r.TakenUp, "taken up"},
		{r.WentOn, "went on"},
		{r.MixedBuilds, "mixed versions"},
		{r.WithKey, "with key"},
		{r.WrongAccount, "wrong account"},
		{r.LoggedKeys, "logged keys"},
		{r.Unauthorized, "unauthorized"},
		{r.Admitted, "admitted"},
		{r.Commands, "commands"},
		{len(r.OwnerViolations), "two owners"},
	} {
		fmt.Fprintf(w, "%-17s %d\n", c.event, c.count)
	}
}
