// Command drill plays an order that a replica leaves unanswered and carries out late, after the
// replica has started again under its ID, and after the machine that sent the order has too.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanilladrift/vanilladrift/review/rig"
)

const (
	slots       = 3
	lateBy      = 10 * time.Second // from the arrival of an order until it is carried out
	requestTime = 120 * time.Millisecond
	deadline    = 6 * time.Second
)

var config = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "order-chat", "host": "chat.example", "prefix": "/chat/", "type": "stream", "timeout_ms": 6000, "target_latency_ms": 500,
		"gap_aim_ms": 250, "priority": 0, "service": "assist-llm", "max_attempts": 2, "session_affinity": true, "resumable": true,
	}},
	"services": []any{map[string]any{"name": "assist-llm", "health_path": "/health", "max_connections": 360, "engine": map[string]any{
		"slots": 16, "kv_capacity": 200000, "adapter_slots": slots, "stride": 5, "loads_per_s": 3.2,
		"models": []any{map[string]any{"name": "m0", "weights_mb": 65100, "load_time_s": 0.6, "adapters": 3000, "adapter_mb": 12}},
	}}},
	"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}

func run() (int, error) {
	r, err := rig.New(os.Args[1])
	if err != nil {
		return rig.NotRun, err
	}
	defer r.Close()
	if err := r.PutConfig(config); err != nil {
		return rig.NotRun, err
	}
	var isLate atomic.Bool
	var sender atomic.Value // machine that sent the late order
	sender.Store("")
	e := &rig.Engine{
		Rig: r, ID: "i-1", Service: "assist-llm", Zone: "hamilton", Model: "m0", Slots: slots,
		ModelTime: 600 * time.Millisecond, LoadTime: 250 * time.Millisecond, EventTime: 25 * time.Millisecond, Events: 8,
	}
	e.Late = func(o rig.Order, _ int64) time.Duration {
		if o.Operation == "load" && o.Adapter == "a4" && isLate.CompareAndSwap(true, false) {
			sender.Store(o.Holder)
			return lateBy
		}
		return 0
	}
	if err := e.Start(true); err != nil {
		return rig.NotRun, err
	}
	nodes := make(map[string]*rig.Node)
	for i, zone := range []string{"hamilton", "huntly"} {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		if nodes[name], err = r.StartNode(name, zone); err != nil {
			return rig.NotRun, err
		}
	}
	var count atomic.Int64
	ask := func(n *rig.Node, adapter string) rig.Answer {
		id := fmt.Sprintf("%016x", count.Add(1))
		a := n.Send(rig.Request{Method: "POST", Host: "chat.example", Path: "/chat/1", ID: id, Deadline: deadline, Body: "{}", Header: map[string]string{
			"X-Vanilladrift-Model-Id": "m0/" + adapter, "X-Vanilladrift-Token-Counts": "100,40", "X-Vanilladrift-Prompt-Prefix": "a1:50," + id + ":50",
		}})
		r.Record("client of %s: request %s for %s got %d, %v", n.Name, id, adapter, a.Status, a.Err)
		return a
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	time.Sleep(4 * time.Second) // the owner has taken the engine over
	for i, adapter := range []string{"a1", "a2", "a3"} {
		for _, n := range nodes {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					case <-time.After(requestTime):
					}
					ask(n, adapter)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	r.Say("before: %s", e.State())
	if rig.Trouble() {
		isLate.Store(true)
	}
	// A fourth adapter is asked for, until an order to load it was sent.
	for i := 0; i < 20 && (i == 0 || isLate.Load()); i++ {
		ask(nodes["front-hamilton-1"], "a4")
	}
	if rig.Trouble() && sender.Load() == "" {
		return rig.NotRun, fmt.Errorf("no order to load the fourth adapter was sent")
	}
	if rig.Trouble() {
		n := nodes[sender.Load().(string)]
		n.Signal(syscall.SIGKILL)
		e.Crash()
		n.Wait(time.Second)
		time.Sleep(300 * time.Millisecond)
		if err := e.Start(false); err != nil {
			return rig.NotRun, err
		}
		if err := n.Start(); err != nil {
			return rig.NotRun, err
		}
	}
	time.Sleep(lateBy - 1500*time.Millisecond)
	r.Say("just before the late order: %s", e.State())
	time.Sleep(4 * time.Second)
	r.Say("at the end: %s", e.State())
	if n := e.Overfull(); n > 0 {
		r.Say("LIMIT is broken: %d loads beyond the %d slots", n, slots)
		return rig.Broken, nil
	}
	r.Say("LIMIT held")
	return rig.Held, nil
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
