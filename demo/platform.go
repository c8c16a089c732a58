package demo

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// drainPeriod is how long a replica serves on after it has said that it leaves:
// new requests must stop within it.
const drainPeriod = 2 * time.Second

// RunPlatform runs the daemons on a stand-in of the users' platform, and returns
// an [Error] when a promise was broken. Log lines of the daemons go to logTo.
func RunPlatform(o Options, logOut io.Writer) error {
	return runPlatform(o, entry.Network{}, logOut)
}

func runPlatform(o Options, n entry.Network, logOut io.Writer) error {
	logf := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	logf("starting a stand-in of the platform, %d replicas and %d daemons", replicaCount+ledgerCount, daemonCount)
	w, err := newPlatformWorld(n, logOut)
	if err != nil {
		return err
	}
	defer w.close()
	if err := w.waitReady(); err != nil {
		return err
	}
	t := newPlatformTraffic(w, o.Seed)
	portion := o.Requests / 5
	t.run(portion)
	logf("announcing versions while orders to replicas are lost and carried out late")
	t.publishVersions(portion)
	logf("a replica restarts empty, streams break, answers are lost")
	w.replicas[1].SetFault(standin.ReplicaFault{CutStreams: 5})
	w.ledgers[0].SetFault(standin.ReplicaFault{LoseResponses: 5})
	w.replicas[0].Restart()
	t.run(portion)
	logf("the store loses answers and its history, and a replica leaves")
	t.drainReplica(portion)
	logf("stopping %s", w.callerAddrs[0])
	t.stopDaemon(o.Requests - 4*portion)
	t.collect()
	return summarize(o, t.res, t.res.print, t.res.violations())
}

// publishVersions announces versions of the most used adapters. From the
// promise's time on, callers must get them.
func (t *platformTraffic) publishVersions(n int) {
	for _, r := range t.w.replicas {
		r.SetFault(standin.ReplicaFault{LoseCommands: 3, CommandDelay: 700 * time.Millisecond})
	}
	const adapters = 5
	for i := range adapters {
		t.w.publishVersion(fmt.Sprintf("a%d", i+1), 2)
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

// drain has a replica leave while the store fails. No request may start at it
// once the time for which it serves on is over.
func (t *platformTraffic) drainReplica(n int) {
	var calls atomic.Int64
	t.w.rows.SetFault(standin.TableFault{LoseResponse: func(table.Tx) bool { return calls.Add(1)%3 == 0 }})
	t.w.rows.DropHistory()
	draining := t.w.replicas[replicaCount-1]
	draining.Drain()
	deadline := time.Now().Add(drainPeriod)
	t.run(n / 2)
	time.Sleep(time.Until(deadline))
	before := len(draining.Record().Executions)
	t.w.removeReplica(draining)
	t.w.rows.SetFault(standin.TableFault{})
	t.run(n - n/2)
	t.res.StartedAfterDrain = len(draining.Record().Executions) - before
}

// stopDaemon stops a daemon as SIGTERM does, while requests come: the balancer
// takes it out of rotation a second or two after it stops being ready.
func (t *platformTraffic) stopDaemon(n int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.w.daemons[0].Close()
	}()
	go func() {
		time.Sleep(1500 * time.Millisecond)
		t.removeDaemon(0)
	}()
	t.run(n)
	<-done
	t.w.daemons[0] = nil
}

func (r PlatformResult) violations() []string {
	violations := violationsOf(
		counter{r.WrongBytes, "answers with wrong bytes"},
		counter{r.WrongVersion, "answers from the wrong adapter or version"},
		counter{r.RanTwice, "orders run twice"},
		counter{r.NotRunButRan, "requests reported as not run that ran"},
		counter{r.EngineCrashes, "engines crashed by orders"},
		counter{r.OwnerAlternations, "owners that took turns at an engine"},
		counter{r.StartedAfterDrain, "requests started at a replica that has left"},
	)
	if r.Served < r.Requests*9/10 {
		violations = append(violations, fmt.Sprintf("only %d of %d requests were served", r.Served, r.Requests))
	}
	return violations
}

func (r PlatformResult) print(w io.Writer) {
	fmt.Fprintf(w, "requests          %d (%d served, %d given up on)\n", r.Requests, r.Served, r.Failed)
	printRefused(w, r.Refused)
	fmt.Fprintf(w, "first event       p50 %d ms, p99 %d ms\n", r.FirstEventP50MS, r.FirstEventP99MS)
	for _, c := range []counter{
		{r.WrongBytes, "wrong bytes"},
		{r.WrongVersion, "wrong version"},
		{r.RanTwice, "ran twice"},
		{r.NotRunButRan, "not run but ran"},
		{r.EngineCrashes, "engine crashes"},
		{r.OwnerAlternations, "back and forth"},
		{r.StartedAfterDrain, "after drain"},
	} {
		fmt.Fprintf(w, "%-17s %d\n", c.event, c.n)
	}
}
