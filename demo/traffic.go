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
	workers       = 32
	maxLatencyMs  = 600_000
	orderShare    = 0.15
	longShare     = 0.08
	streamedShare = 0.6
)

// Result counts what callers saw.
type Result struct {
	Requests          int            `json:"requests"`
	Served            int            `json:"served"`
	Refused           map[string]int `json:"refused"`
	WrongAdapter      int            `json:"wrong-adapter"`
	Cut               int            `json:"cut"`
	WrongBytes        int            `json:"wrong-bytes"`
	Orders            int            `json:"orders"`
	Replays           int            `json:"repeats-absorbed"`
	RanTwice          int            `json:"ran-twice"`
	NotRunButRan      int            `json:"not-run-but-ran"`
	Loads             int            `json:"loads"`
	EvictedInUse      int            `json:"evicted-in-use"`
	StartedAfterDrain int            `json:"started-after-drain"`
	ShortP50MS        int64          `json:"short-p50-ms"`
	ShortP99MS        int64          `json:"short-p99-ms"`
	LongP50MS         int64          `json:"long-p50-ms"`
	LongP99MS         int64          `json:"long-p99-ms"`
}

// traffic sends requests and judges the answers.
type traffic struct {
	w   *world
	rng *rand.Rand

	mu     sync.Mutex
	res    Result
	short  *hdrhistogram.Histogram
	long   *hdrhistogram.Histogram
	live   []string // caller addresses that are in use
	forced map[string]string
	placed map[string]bool // orders that were answered as ran
	denied map[string]bool // orders of which every answer was not-run
}

func newTraffic(w *world, seed uint64) *traffic {
	t := &traffic{
		w: w, rng: rand.New(rand.NewPCG(seed, 2)),
		short: hdrhistogram.New(1, maxLatencyMs, 3), long: hdrhistogram.New(1, maxLatencyMs, 3),
		forced: map[string]string{}, placed: map[string]bool{}, denied: map[string]bool{},
	}
	t.res.Refused = map[string]int{}
	for _, n := range w.nodes {
		t.live = append(t.live, n.callers)
	}
	return t
}

// job is one request, drawn in advance so that a seed gives the same work.
type job struct {
	order   bool
	key     string
	adapter string
	version string // asked for explicitly, or empty
	prompt  string
	tokens  int
	stream  bool
	node    int
	number  int
}

func (t *traffic) draw(number int) job {
	j := job{number: number, node: t.rng.IntN(1 << 20), order: t.rng.Float64() < orderShare}
	j.key = []string{"counter", "studio-a"}[t.rng.IntN(2)]
	j.tokens = 4 + t.rng.IntN(24)
	if t.rng.Float64() < longShare {
		j.key = []string{"depot", "dossiers"}[t.rng.IntN(2)]
		j.tokens = 120 + t.rng.IntN(130)
	}
	rank := int(float64(adapterCount) * t.rng.Float64() * t.rng.Float64() * t.rng.Float64())
	j.adapter = adapterName(rank)
	if t.rng.Float64() < 0.2 {
		j.version = []string{"v1", "v2"}[t.rng.IntN(2)]
	}
	j.stream = t.rng.Float64() < streamedShare
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
				t.do(j)
			}
		})
	}
	for i := range n {
		jobs <- t.draw(first + i)
	}
	close(jobs)
	wg.Wait()
}

func (t *traffic) do(j job) {
	t.mu.Lock()
	t.res.Requests++
	t.mu.Unlock()
	if j.order {
		t.placeOrder(j)
		return
	}
	t.complete(j)
}

func (t *traffic) address(node int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live[node%len(t.live)]
}

// leave takes a node's caller address out of use, as a balancer would.
func (t *traffic) leave(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, a := range t.live {
		if a == address {
			t.live = append(t.live[:i], t.live[i+1:]...)
			return
		}
	}
}

func (t *traffic) complete(j job) {
	model := j.adapter
	if j.version != "" {
		model += "@" + j.version
	}
	t.mu.Lock()
	want := t.forced[j.adapter]
	t.mu.Unlock()
	if j.version != "" {
		want = j.version
	}
	body, err := json.Marshal(map[string]any{"model": model, "prompt": j.prompt, "max_tokens": j.tokens, "stream": j.stream})
	if err != nil {
		panic(err) // strings and numbers
	}
	start := time.Now()
	resp, err := t.post(t.address(j.node), engine.PathCompletions, j.key, "", body)
	if err != nil {
		t.count(func(r *Result) { r.Cut++ })
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.refused(resp)
		return
	}
	text, answered, whole := readAnswer(resp, j.stream)
	took := time.Since(start)
	name, version, _ := strings.Cut(answered, "@")
	t.count(func(r *Result) {
		switch {
		case !whole:
			r.Cut++
		case name != j.adapter, want != "" && version != want, resp.Header.Get(caller.HeaderAdapter) != answered:
			r.WrongAdapter++
		case text != standin.Completion(answered, j.prompt, j.tokens):
			r.WrongBytes++
		default:
			r.Served++
			t.record(j, took)
		}
	})
}

func (t *traffic) record(j job, took time.Duration) {
	h := t.short
	if j.key == "depot" || j.key == "dossiers" {
		h = t.long
	}
	_ = h.RecordValue(took.Milliseconds() + 1) // under the histogram's ten minutes
}

func (t *traffic) count(f func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.res)
}

func (t *traffic) post(address, path, key, idempotency string, body []byte) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, idempotency)
	}
	return t.w.client.Do(req)
}

func (t *traffic) refused(resp *http.Response) {
	var e struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&e) // an empty type shows in the summary
	t.count(func(r *Result) {
		r.Refused[resp.Header.Get(caller.HeaderOutcome)+", "+e.Error.Type+": "+e.Error.Message]++
	})
}

// readAnswer returns the text, the model that answered, and whether the answer
// came whole.
func readAnswer(resp *http.Response, stream bool) (text, model string, whole bool) {
	if !stream {
		var a struct {
			Model   string `json:"model"`
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || len(a.Choices) == 0 {
			return "", "", false
		}
		return a.Choices[0].Text, a.Model, true
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

// placeOrder places one order two or three times, through different nodes.
func (t *traffic) placeOrder(j job) {
	body := fmt.Sprintf("order %d", j.number)
	path := "/v1/services/" + serviceName(j.number%serviceCount) + "/place"
	times := 2 + j.number%2
	notRun := 0
	for i := range times {
		resp, err := t.post(t.address(j.node+i), path, j.key, body, []byte(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // only the headers count
		resp.Body.Close()
		outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
		if outcome == caller.NotRun {
			notRun++
		}
		repeated := resp.Header.Get(caller.HeaderReplayed) != ""
		t.count(func(r *Result) {
			if outcome == caller.Ran {
				t.placed[body] = true
			}
			if repeated {
				r.Replays++
			}
		})
	}
	t.count(func(r *Result) {
		r.Orders++
		if notRun == times {
			t.denied[body] = true
		}
	})
}
