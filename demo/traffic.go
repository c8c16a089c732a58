package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	workers          = 32 // concurrent requests
	maxLatencyMS     = 600_000
	orderFraction    = 0.15
	longFraction     = 0.08
	streamedFraction = 0.6
)

// Result holds the counts and latencies of a run.
type Result struct {
	Requests          int            `json:"requests"`
	Served            int            `json:"served"`
	Refused           map[string]int `json:"refused"`
	WrongAdapter      int            `json:"wrong-adapter"`
	Incomplete        int            `json:"cut"`
	WrongBytes        int            `json:"wrong-bytes"`
	Orders            int            `json:"orders"`
	Replays           int            `json:"repeats-absorbed"`
	RanTwice          int            `json:"ran-twice"`
	NotRunButRan      int            `json:"not-run-but-ran"`
	Loads             int            `json:"loads"`
	EvictedInUse      int            `json:"evicted-in-use"`
	StartedAfterDrain int            `json:"started-after-drain"`
	Commands          int            `json:"commands"`         // that arrived at engines
	OwnerViolations   []string       `json:"owner-violations"` // commands of two owners of an engine
	ShortP50MS        int64          `json:"short-p50-ms"`
	ShortP99MS        int64          `json:"short-p99-ms"`
	LongP50MS         int64          `json:"long-p50-ms"`
	LongP99MS         int64          `json:"long-p99-ms"`
}

// traffic sends requests and checks the responses.
type traffic struct {
	sys *system
	rng *rand.Rand

	mu               sync.Mutex
	result           Result
	shortLatency     *hdrhistogram.Histogram
	longLatency      *hdrhistogram.Histogram
	callerAddrs      []string          // of the nodes that serve
	requiredVersions map[string]string // by adapter: version that must be served
	executedOrders   map[string]bool   // orders that were reported as executed
	notRunOrders     map[string]bool   // orders that every response reported as not run
}

func newTraffic(sys *system, seed uint64) *traffic {
	t := &traffic{
		sys: sys, rng: rand.New(rand.NewPCG(seed, 2)),
		shortLatency: hdrhistogram.New(1, maxLatencyMS, 3), longLatency: hdrhistogram.New(1, maxLatencyMS, 3),
		requiredVersions: map[string]string{}, executedOrders: map[string]bool{}, notRunOrders: map[string]bool{},
	}
	t.result.Refused = map[string]int{}
	for _, n := range sys.nodes {
		t.callerAddrs = append(t.callerAddrs, n.callerAddr)
	}
	return t
}

// job is a request. Its random choices are made before it is sent, so that a seed
// always gives the same requests.
type job struct {
	order   bool   // to a service, instead of a completion
	key     string // of the caller
	adapter string
	version string // of the adapter, or empty for the current one
	prompt  string
	tokens  int
	stream  bool
	node    int // random number that selects the first node
	number  int
}

func (t *traffic) nextJob(number int) job {
	j := job{number: number, node: t.rng.IntN(1 << 20), order: t.rng.Float64() < orderFraction}
	j.key = []string{"counter", "studio-a"}[t.rng.IntN(2)]
	j.tokens = 4 + t.rng.IntN(24)
	if t.rng.Float64() < longFraction {
		j.key = []string{"depot", "dossiers"}[t.rng.IntN(2)]
		j.tokens = 120 + t.rng.IntN(130)
	}
	rank := int(float64(adapterCount) * t.rng.Float64() * t.rng.Float64() * t.rng.Float64())
	j.adapter = adapterName(rank)
	if t.rng.Float64() < 0.2 {
		j.version = []string{"v1", "v2"}[t.rng.IntN(2)]
	}
	j.stream = t.rng.Float64() < streamedFraction
	j.prompt = fmt.Sprintf("request %d", number)
	return j
}

// run sends n requests, the first of which has the given number.
func (t *traffic) run(first, n int) {
	jobs := make(chan job)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for j := range jobs {
				t.send(j)
			}
		})
	}
	for i := range n {
		jobs <- t.nextJob(first + i)
	}
	close(jobs)
	wg.Wait()
}

func (t *traffic) send(j job) {
	t.mu.Lock()
	t.result.Requests++
	t.mu.Unlock()
	if j.order {
		t.placeOrder(j)
		return
	}
	t.sendCompletion(j)
}

func (t *traffic) nodeAddr(node int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callerAddrs[node%len(t.callerAddrs)]
}

// removeNode removes a node's caller address from use, as a balancer would.
func (t *traffic) removeNode(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, a := range t.callerAddrs {
		if a == address {
			t.callerAddrs = append(t.callerAddrs[:i], t.callerAddrs[i+1:]...)
			return
		}
	}
}

// sendCompletion requests a completion and checks the response.
func (t *traffic) sendCompletion(j job) {
	model := j.adapter
	if j.version != "" {
		model += "@" + j.version
	}
	t.mu.Lock()
	want := t.requiredVersions[j.adapter]
	t.mu.Unlock()
	if j.version != "" {
		want = j.version
	}
	body, err := json.Marshal(map[string]any{"model": model, "prompt": j.prompt, "max_tokens": j.tokens, "stream": j.stream})
	if err != nil {
		panic(err) // strings, numbers and booleans always encode
	}
	start := time.Now()
	resp, err := t.post(t.nodeAddr(j.node), engine.PathCompletions, j.key, "", body)
	if err != nil {
		t.updateResult(func(r *Result) { r.Incomplete++ })
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.countRefusal(resp)
		return
	}
	text, servedModel, complete := readCompletion(resp, j.stream)
	elapsed := time.Since(start)
	name, version, _ := strings.Cut(servedModel, "@")
	t.updateResult(func(r *Result) {
		switch {
		case !complete:
			r.Incomplete++
		case name != j.adapter, want != "" && version != want, resp.Header.Get(caller.HeaderAdapter) != servedModel:
			r.WrongAdapter++
		case text != standin.Completion(servedModel, j.prompt, j.tokens):
			r.WrongBytes++
		default:
			r.Served++
			t.recordLatency(j, elapsed)
		}
	})
}

func (t *traffic) recordLatency(j job, elapsed time.Duration) {
	h := t.shortLatency
	if j.key == "depot" || j.key == "dossiers" {
		h = t.longLatency
	}
	_ = h.RecordValue(elapsed.Milliseconds() + 1) // always below maxLatencyMS
}

func (t *traffic) updateResult(f func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

func (t *traffic) post(address, path, key, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, idempotencyKey)
	}
	return t.sys.client.Do(req)
}

func (t *traffic) countRefusal(resp *http.Response) {
	var e struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&e) // a malformed body is counted with an empty type
	t.updateResult(func(r *Result) {
		r.Refused[resp.Header.Get(caller.HeaderOutcome)+", "+e.Error.Type+": "+e.Error.Message]++
	})
}

// readCompletion returns the text of a completion, the model that generated it, and
// whether the response was complete.
func readCompletion(resp *http.Response, stream bool) (text, model string, complete bool) {
	if !stream {
		var completion struct {
			Model   string `json:"model"`
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil || len(completion.Choices) == 0 {
			return "", "", false
		}
		return completion.Choices[0].Text, completion.Model, true
	}
	var b strings.Builder
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), model, true
		}
		var c engine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return b.String(), model, false
		}
		model = c.Model
		b.WriteString(c.Choices[0].Text)
	}
	return b.String(), model, false
}

// placeOrder sends an order two or three times, through different nodes.
func (t *traffic) placeOrder(j job) {
	body := fmt.Sprintf("order %d", j.number)
	path := "/v1/services/" + serviceName(j.number%serviceCount) + "/place"
	attempts := 2 + j.number%2
	notRun := 0
	for i := range attempts {
		resp, err := t.post(t.nodeAddr(j.node+i), path, j.key, body, []byte(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // only the headers are checked
		resp.Body.Close()
		outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
		if outcome == caller.NotRun {
			notRun++
		}
		replayed := resp.Header.Get(caller.HeaderReplayed) != ""
		t.updateResult(func(r *Result) {
			if outcome == caller.Ran {
				t.executedOrders[body] = true
			}
			if replayed {
				r.Replays++
			}
		})
	}
	t.updateResult(func(r *Result) {
		r.Orders++
		if notRun == attempts {
			t.notRunOrders[body] = true
		}
	})
}
