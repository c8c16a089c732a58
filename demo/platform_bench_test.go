package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

// newBenchSystem starts one daemon in front of one engine and one plain server, which
// both respond without delay. Prompts have one token, so that the load stays below the
// prefill speed that the scheduler assumes for an engine. Everything runs in this
// process, so the cost of the daemon is the difference between a call through it and
// a direct one.
func newBenchSystem(b *testing.B) *platformSystem {
	b.Helper()
	sys := &platformSystem{
		store: &standin.Store{}, versions: map[string]int64{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	b.Cleanup(sys.close)
	storeAddr, err := sys.serve(sys.store)
	if err != nil {
		b.Fatal(err)
	}
	sys.store.Put(platform.ConfigRowKey, platform.ExampleConfig)
	sys.replicas = []*standin.Replica{{
		Self: backend.Server{ID: "engine-1", Pool: "engines", MaxRequests: 64}, Model: baseModel, AdapterSlots: adapterSlots, QueueSize: 64,
	}}
	sys.ledgers = []*standin.Replica{{Self: backend.Server{ID: "ledger-1", Pool: "ledger", MaxRequests: 64}, QueueSize: 64}}
	for _, r := range []*standin.Replica{sys.replicas[0], sys.ledgers[0]} {
		if err := sys.startReplica(r); err != nil {
			b.Fatal(err)
		}
	}
	if err := sys.startDaemon("front-1", storeAddr, io.Discard); err != nil {
		b.Fatal(err)
	}
	sys.callerAddrs = append(sys.callerAddrs, sys.replicas[0].Self.Address, sys.ledgers[0].Self.Address)
	for deadline := time.Now().Add(readyTimeout); sendBenchRequest(sys, sys.callerAddrs[0], "chat", "warm", 1) != nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("the daemon did not serve a request before the deadline")
		}
	}
	return sys
}

func sendBenchRequest(sys *platformSystem, address, route, id string, events int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+route+"/", strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Host = "assist.example"
	h := relay.RequestHead{ID: id, Timeout: 30 * time.Second}
	if route == "chat" {
		h.Model, h.Adapter, h.PromptTokens, h.MaxTokens = baseModel, "a1", 1, events
	}
	platform.EncodeRequestHead(req.Header, h)
	resp, err := sys.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n == 0) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return err
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEntry compares calls through the daemon with direct ones: p50 and p99
// latency, CPU time of the whole process, and allocations.
func BenchmarkEntry(b *testing.B) {
	sys := newBenchSystem(b)
	for _, tt := range []struct {
		name, route string
		events      int
		address     string
	}{
		{"plain/direct", "orders", 0, sys.callerAddrs[2]},
		{"plain/entry", "orders", 0, sys.callerAddrs[0]},
		{"stream-1-event/direct", "chat", 1, sys.callerAddrs[1]},
		{"stream-1-event/entry", "chat", 1, sys.callerAddrs[0]},
		{"stream-201-events/direct", "chat", 201, sys.callerAddrs[1]},
		{"stream-201-events/entry", "chat", 201, sys.callerAddrs[0]},
	} {
		b.Run(tt.name, func(b *testing.B) {
			h := hdrhistogram.New(1, 60_000_000, 3) // microseconds
			b.ReportAllocs()
			before := cpuTime()
			i := 0
			for b.Loop() {
				i++
				start := time.Now()
				if err := sendBenchRequest(sys, tt.address, tt.route, fmt.Sprintf("%s-%d-%d", tt.name, start.UnixNano(), i), tt.events); err != nil {
					b.Fatal(err)
				}
				_ = h.RecordValue(time.Since(start).Microseconds()) // always in range: calls time out after a minute
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(i), "cpu-us/op")
		})
	}
}

// BenchmarkMemory measures the heap that a daemon uses for the published versions of
// many adapters.
func BenchmarkMemory(b *testing.B) {
	for _, adapters := range []int{0, 3000, 34000} {
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			for b.Loop() {
				store := &standin.Store{}
				for i := range adapters {
					p := platform.EncodeAdapterVersion(platform.AdapterVersion{Model: baseModel, Adapter: fmt.Sprintf("a%d", i), Version: 2})
					store.Put(p.Key, p.Value)
				}
				store.Put(platform.ConfigRowKey, platform.ExampleConfig)
				before := liveHeapBytes()
				sys := &platformSystem{store: store, versions: map[string]int64{}, client: &http.Client{}}
				storeAddr, err := sys.serve(store)
				if err != nil {
					b.Fatal(err)
				}
				if err := sys.startDaemon("front-1", storeAddr, io.Discard); err != nil {
					b.Fatal(err)
				}
				time.Sleep(4 * time.Second) // the daemon reads the whole table
				b.ReportMetric(float64(liveHeapBytes()-before)/(1<<10), "KiB")
				sys.close()
			}
		})
	}
}

func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
