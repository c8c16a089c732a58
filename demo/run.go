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
)

// Options are the options of [Run].
type Options struct {
	Seed     uint64
	Requests int
	JSON     bool
	Out      io.Writer
	Progress io.Writer
}

const (
	closeTimeout = 30 * time.Second
	drainPromise = 3 * time.Second
	drained      = 2 // index of the engine that is drained
)

// Run runs the demo and returns an [Error] when a promise was broken.
func Run(o Options) error {
	say := func(format string, args ...any) { fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...) }
	say("starting stand-ins and %d nodes", nodeCount)
	w, err := newWorld(o.Seed)
	if err != nil {
		return err
	}
	defer w.close()
	if err := w.waitReady(); err != nil {
		return err
	}
	t := newTraffic(w, o.Seed)
	stop := progress(t, say)
	quarter := o.Requests / 4
	t.run(0, quarter)
	say("publishing a version")
	if err := t.publish(); err != nil {
		return err
	}
	t.run(quarter, quarter)
	say("draining %s", engineName(drained))
	before, err := t.drain(quarter)
	if err != nil {
		return err
	}
	say("shutting node %s down", w.nodes[nodeCount-1].node.Name())
	if err := t.shutDown(3*quarter, o.Requests-3*quarter); err != nil {
		return err
	}
	stop()
	t.finish(before)
	return summarize(o, t.res, t.res.print, t.res.broken())
}

func progress(t *traffic, say func(string, ...any)) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				t.mu.Lock()
				say("%d requests sent, %d served", t.res.Requests, t.res.Served)
				t.mu.Unlock()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// publish makes version v2 of some adapters current. Once the change is in
// force everywhere, callers must get it.
func (t *traffic) publish() error {
	for i := range 5 {
		if err := t.w.edit(settings.Adapter, adapterName(i), map[string]string{"current": "v2"}); err != nil {
			return err
		}
	}
	if err := t.w.waitInForce(); err != nil {
		return err
	}
	for i := range 5 {
		t.forced[adapterName(i)] = "v2"
	}
	return nil
}

// drain sends requests while an engine is drained, and returns how many
// streams the engine had started when the promise's time was over.
func (t *traffic) drain(n int) (started int, err error) {
	if err := t.w.edit(settings.Backend, engineName(drained), map[string]string{"drain": "on"}); err != nil {
		return 0, err
	}
	limit := time.Now().Add(drainPromise)
	t.run(2*n, n)
	time.Sleep(time.Until(limit))
	return len(t.w.engines[drained].Record().Started), nil
}

// shutDown closes the last node while requests run.
func (t *traffic) shutDown(first, n int) error {
	last := t.w.nodes[nodeCount-1]
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		go func() {
			time.Sleep(300 * time.Millisecond) // the balancer sees /readyz fail
			t.leave(last.callers)
		}()
		closed <- last.node.Close(ctx)
	}()
	t.run(first, n)
	return <-closed
}

func (t *traffic) finish(startedBeforeDrain int) {
	r := &t.res
	for _, e := range t.w.engines {
		rec := e.Record()
		r.Loads += rec.Loads
		r.EvictedInUse += rec.EvictedInUse
	}
	r.StartedAfterDrain = len(t.w.engines[drained].Record().Started) - startedBeforeDrain
	for _, s := range t.w.services {
		for body, n := range s.Executed() {
			if n > 1 {
				r.RanTwice++
			}
			if t.denied[body] {
				r.NotRunButRan++
			}
		}
	}
	r.ShortP50MS, r.ShortP99MS = t.short.ValueAtQuantile(50), t.short.ValueAtQuantile(99)
	r.LongP50MS, r.LongP99MS = t.long.ValueAtQuantile(50), t.long.ValueAtQuantile(99)
}

// summarize prints a result, as JSON or by show, and returns an [Error] when a
// promise was broken.
func summarize(o Options, result any, show func(w io.Writer), broken []string) error {
	if o.JSON {
		enc := json.NewEncoder(o.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(result); err != nil {
			return err
		}
	} else {
		show(o.Out)
	}
	if len(broken) > 0 {
		return &Error{Op: "run", Kind: "broken-promise", Violations: broken}
	}
	return nil
}

// count is how often something happened.
type count struct {
	n    int
	what string
}

// brokenOf names what happened at all.
func brokenOf(counts ...count) (broken []string) {
	for _, c := range counts {
		if c.n > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", c.n, c.what))
		}
	}
	return broken
}

func printRefused(w io.Writer, refused map[string]int) {
	total := 0
	for _, k := range slices.Sorted(maps.Keys(refused)) {
		fmt.Fprintf(w, "  refused         %d %s\n", refused[k], k)
		total += refused[k]
	}
	fmt.Fprintf(w, "refused           %d\n", total)
}

func (r Result) broken() []string {
	broken := brokenOf(
		count{r.WrongAdapter, "answers from the wrong adapter or version"},
		count{r.Cut, "answers cut"},
		count{r.WrongBytes, "answers with wrong bytes"},
		count{r.RanTwice, "orders run twice"},
		count{r.NotRunButRan, "orders reported as not run that ran"},
		count{r.EvictedInUse, "adapters evicted in use"},
		count{r.StartedAfterDrain, "streams started on a drained engine"},
	)
	if r.Served == 0 {
		broken = append(broken, "nothing was served")
	}
	return broken
}

func (r Result) print(w io.Writer) {
	fmt.Fprintf(w, "requests          %d (%d completions served, %d orders)\n", r.Requests, r.Served, r.Orders)
	printRefused(w, r.Refused)
	fmt.Fprintf(w, "short answers     p50 %d ms, p99 %d ms\n", r.ShortP50MS, r.ShortP99MS)
	fmt.Fprintf(w, "long answers      p50 %d ms, p99 %d ms\n", r.LongP50MS, r.LongP99MS)
	fmt.Fprintf(w, "adapter loads     %d\n", r.Loads)
	fmt.Fprintf(w, "repeats absorbed  %d\n", r.Replays)
	fmt.Fprintf(w, "wrong adapter     %d\n", r.WrongAdapter)
	fmt.Fprintf(w, "wrong bytes       %d\n", r.WrongBytes)
	fmt.Fprintf(w, "cut               %d\n", r.Cut)
	fmt.Fprintf(w, "ran twice         %d\n", r.RanTwice)
	fmt.Fprintf(w, "not run but ran   %d\n", r.NotRunButRan)
	fmt.Fprintf(w, "evicted in use    %d\n", r.EvictedInUse)
	fmt.Fprintf(w, "after drain       %d\n", r.StartedAfterDrain)
}
