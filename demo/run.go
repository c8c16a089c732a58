package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

// Options are the options of [Run] and [RunPlatform].
type Options struct {
	Seed     uint64
	Requests int
	JSON     bool      // write the result as JSON instead of text
	Out      io.Writer // for the result
	Progress io.Writer // for progress messages
}

const (
	closeTimeout  = 30 * time.Second
	drainDeadline = 3 * time.Second // a drained engine gets no new requests after it
	drainedEngine = 2               // index of the engine to drain
)

// Run runs the demo, and returns an [Error] if a guarantee was violated.
func Run(o Options) error {
	logf := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	logf("starting stand-ins and %d nodes", nodeCount)
	sys, err := newSystem(o.Seed)
	if err != nil {
		return err
	}
	defer sys.close()
	if err := sys.waitReady(); err != nil {
		return err
	}
	t := newTraffic(sys, o.Seed)
	stop := logProgress(t, logf)
	quarter := o.Requests / 4
	t.run(0, quarter)
	logf("publishing an adapter version")
	if err := t.publishVersion(); err != nil {
		return err
	}
	t.run(quarter, quarter)
	logf("draining %s", engineName(drainedEngine))
	startedByDeadline, err := t.drainEngine(quarter)
	if err != nil {
		return err
	}
	logf("shutting node %s down", sys.nodes[nodeCount-1].node.Name())
	if err := t.shutDownNode(3*quarter, o.Requests-3*quarter); err != nil {
		return err
	}
	stop()
	t.collect(startedByDeadline)
	return summarize(o, t.result, t.result.print, t.result.violations())
}

func logProgress(t *traffic, logf func(string, ...any)) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				t.mu.Lock()
				logf("%d requests sent, %d served", t.result.Requests, t.result.Served)
				t.mu.Unlock()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// publishVersion makes version v2 of some adapters current. When the change is in
// force on every node, callers must get it.
func (t *traffic) publishVersion() error {
	for i := range 5 {
		if err := t.sys.edit(settings.Adapter, adapterName(i), map[string]string{"current": "v2"}); err != nil {
			return err
		}
	}
	if err := t.sys.waitSettings(); err != nil {
		return err
	}
	for i := range 5 {
		t.requiredVersions[adapterName(i)] = "v2"
	}
	return nil
}

// drainEngine sends requests while an engine is drained, and returns the number of
// streams that the engine had started by drainDeadline.
func (t *traffic) drainEngine(n int) (started int, err error) {
	if err := t.sys.edit(settings.Backend, engineName(drainedEngine), map[string]string{"drain": "on"}); err != nil {
		return 0, err
	}
	deadline := time.Now().Add(drainDeadline)
	t.run(2*n, n)
	time.Sleep(time.Until(deadline))
	return len(t.sys.engines[drainedEngine].Record().Started), nil
}

// shutDownNode closes the last node while requests run.
func (t *traffic) shutDownNode(first, n int) error {
	last := t.sys.nodes[nodeCount-1]
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		go func() {
			time.Sleep(300 * time.Millisecond) // the balancer takes this long to see /readyz fail
			t.removeNode(last.callerAddr)
		}()
		closed <- last.node.Close(ctx)
	}()
	t.run(first, n)
	return <-closed
}

// collect completes the result with the records of the stand-ins.
func (t *traffic) collect(startedByDeadline int) {
	r := &t.result
	// Commands do not name their senders, so there are no turns to check.
	const noTurns = 0
	for i, e := range t.sys.engines {
		rec := e.Record()
		r.Loads += rec.Loads
		r.EvictedInUse += rec.EvictedInUse
		r.Commands += len(rec.Commands)
		r.OwnerViolations = append(r.OwnerViolations, standin.OwnerViolations(engineName(i), rec.Commands, e.ChecksFencing, noTurns)...)
	}
	r.StartedAfterDrain = len(t.sys.engines[drainedEngine].Record().Started) - startedByDeadline
	for _, s := range t.sys.services {
		for body, n := range s.Executed() {
			if n > 1 {
				r.RanTwice++
			}
			if t.notRunOrders[body] {
				r.NotRunButRan++
			}
		}
	}
	r.ShortP50MS, r.ShortP99MS = t.shortLatency.ValueAtQuantile(50), t.shortLatency.ValueAtQuantile(99)
	r.LongP50MS, r.LongP99MS = t.longLatency.ValueAtQuantile(50), t.longLatency.ValueAtQuantile(99)
}

// summarize prints a result, as JSON or with writeText, and returns an [Error] if a
// guarantee was violated.
func summarize(o Options, result any, writeText func(w io.Writer), violations []string) error {
	if o.JSON {
		enc := json.NewEncoder(o.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(result); err != nil {
			return err
		}
	} else {
		writeText(o.Out)
	}
	if len(violations) > 0 {
		return &Error{Op: "run", Kind: "broken-promise", Violations: violations}
	}
	return nil
}

// counter is the number of times that an event occurred.
type counter struct {
	count int
	event string
}

// violationsOf describes the events that occurred at least once.
func violationsOf(counts ...counter) (violations []string) {
	for _, c := range counts {
		if c.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", c.count, c.event))
		}
	}
	return violations
}

func printRefused(w io.Writer, refused map[string]int) {
	total := 0
	for _, k := range slices.Sorted(maps.Keys(refused)) {
		fmt.Fprintf(w, "  refused         %d %s\n", refused[k], k)
		total += refused[k]
	}
	fmt.Fprintf(w, "refused           %d\n", total)
}

func (r Result) violations() []string {
	violations := violationsOf(
		counter{r.WrongAdapter, "responses from the wrong adapter or version"},
		counter{r.Incomplete, "incomplete responses"},
		counter{r.WrongBytes, "responses with wrong bytes"},
		counter{r.RanTwice, "orders run twice"},
		counter{r.NotRunButRan, "orders reported as not run but executed"},
		counter{r.EvictedInUse, "adapters evicted in use"},
		counter{r.StartedAfterDrain, "streams started on a drained engine"},
	)
	violations = append(violations, r.OwnerViolations...)
	if r.Served == 0 {
		violations = append(violations, "no request was served")
	}
	return violations
}

func (r Result) print(w io.Writer) {
	fmt.Fprintf(w, "requests          %d (%d completions served, %d orders)\n", r.Requests, r.Served, r.Orders)
	printRefused(w, r.Refused)
	fmt.Fprintf(w, "short completions p50 %d ms, p99 %d ms\n", r.ShortP50MS, r.ShortP99MS)
	fmt.Fprintf(w, "long completions  p50 %d ms, p99 %d ms\n", r.LongP50MS, r.LongP99MS)
	fmt.Fprintf(w, "adapter loads     %d\n", r.Loads)
	fmt.Fprintf(w, "replayed          %d\n", r.Replays)
	fmt.Fprintf(w, "wrong adapter     %d\n", r.WrongAdapter)
	fmt.Fprintf(w, "wrong bytes       %d\n", r.WrongBytes)
	fmt.Fprintf(w, "incomplete        %d\n", r.Incomplete)
	fmt.Fprintf(w, "ran twice         %d\n", r.RanTwice)
	fmt.Fprintf(w, "not run but ran   %d\n", r.NotRunButRan)
	fmt.Fprintf(w, "evicted in use    %d\n", r.EvictedInUse)
	fmt.Fprintf(w, "after drain       %d\n", r.StartedAfterDrain)
	fmt.Fprintf(w, "commands          %d\n", r.Commands)
	fmt.Fprintf(w, "two owners        %d\n", len(r.OwnerViolations))
}
