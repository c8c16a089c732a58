package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

// serveLoopback serves a handler on a free loopback port until the benchmark ends.
func serveLoopback(b *testing.B, h http.Handler) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	b.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// startBenchNode starts an engine that responds without delay and a node in front of
// it, and returns their addresses.
func startBenchNode(b *testing.B) (engineAddr, nodeAddr string) {
	b.Helper()
	eng := &standin.Engine{Slots: 4, BatchSize: 2048}
	engineAddr = serveLoopback(b, eng)
	n := New(Config{
		Name: "n", Address: "127.0.0.1:1", TableURL: "http://" + serveLoopback(b, &standin.Table{}),
		ObjectURL: "http://" + serveLoopback(b, &standin.ObjectStore{}), VMListURL: "http://" + serveLoopback(b, &standin.VMList{}),
	})
	nodeAddr = serveLoopback(b, n.Callers())
	n.Start()
	b.Cleanup(n.Kill)
	for i, e := range []settings.Edit{
		{Kind: settings.Backend, Name: "e", Set: map[string]string{
			"address": engineAddr, "base-model": "base", "slots": "4", "places": "2048", "checks-fencing": "on", "refuses-when-full": "on",
		}},
		{Kind: settings.Adapter, Name: "a", Set: map[string]string{"base-model": "base", "versions": "v1", "current": "v1"}},
		{Kind: settings.Caller, Name: "c", Set: map[string]string{"branch": "/", "key-hash": caller.HashKey("k")}},
	} {
		e.ID, e.BaseRev = fmt.Sprint("bench", i), settings.AnyRevision
		if _, err := n.store.Apply(b.Context(), e, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	client := &http.Client{}
	for limit := time.Now().Add(20 * time.Second); sendCompletion(client, nodeAddr, "warm") != nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("node does not serve requests within 20 s")
		}
	}
	return engineAddr, nodeAddr
}

// sendCompletion requests a streamed completion of four tokens.
func sendCompletion(client *http.Client, address, id string) error {
	body := []byte(`{"model":"a@v1","prompt":"hello","max_tokens":4,"stream":true}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+engine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set(engine.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !bytes.HasSuffix(raw, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	return nil
}

// BenchmarkNode compares requests through a node with requests sent directly to the
// engine, at several numbers of concurrent callers.
func BenchmarkNode(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		for _, path := range []string{"direct", "through-node"} {
			b.Run(fmt.Sprintf("%s/callers=%d", path, callers), func(b *testing.B) {
				engineAddr, nodeAddr := startBenchNode(b)
				address := engineAddr
				if path == "through-node" {
					address = nodeAddr
				}
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
				var mu sync.Mutex
				h := hdrhistogram.New(1, 60_000_000, 3)
				next := make(chan int)
				var wg sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wg.Go(func() {
						for i := range next {
							start := time.Now()
							if err := sendCompletion(client, address, fmt.Sprint(path, callers, "-", i)); err != nil {
								b.Error(err)
							}
							mu.Lock()
							_ = h.RecordValue(time.Since(start).Microseconds()) // fails only above a minute
							mu.Unlock()
						}
					})
				}
				for i := range b.N {
					next <- i
				}
				close(next)
				wg.Wait()
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}
