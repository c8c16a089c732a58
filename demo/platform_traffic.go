package demo

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	streamShare  = 0.6
	orderPart    = 0.2
	callerTries  = 3
	longestPause = time.Second // that a caller of the demo waits when it is told to come back
)

// PlatformResult counts what callers saw.
type PlatformResult struct {
	Requests          int            `json:"requests"`
	Served            int            `json:"served"`
	Refused           map[string]int `json:"refused"` // attempts, by status and route
	Failed            int            `json:"failed"`  // requests that were given up on
	WrongBytes        int            `json:"wrong-bytes"`
	WrongVersion      int            `json:"wrong-version"`
	RanTwice          int            `json:"ran-twice"`
	NotRunButRan      int            `json:"not-run-but-ran"`
	EngineCrashes     int            `json:"engine-crashes"`
	OwnerAlternations int            `json:"owners-back-and-forth"`
	StartedAfterDrain int            `json:"started-after-drain"`
	FirstEventP50MS   int64          `json:"first-event-p50-ms"`
	FirstEventP99MS   int64          `json:"first-event-p99-ms"`
}

// platformTraffic sends requests and judges the answers.
type platformTraffic struct {
	w *platformWorld

	mu     sync.Mutex
	rng    *rand.Rand
	res    PlatformResult
	first  *hdrhistogram.Histogram
	fronts []string         // that the balancer uses
	forced map[string]int64 // versions that must be served by now
	once   map[string]bool  // attempts of requests that run at most once
	denied map[string]bool  // attempts that were answered as not run
	number int
}

func newPlatformTraffic(w *platformWorld, seed uint64) *platformTraffic {
	t := &platformTraffic{
		w: w, rng: rand.New(rand.NewPCG(seed, 3)),
		first: hdrhistogram.New(1, maxLatencyMs, 3), fronts: slices.Clone(w.fronts),
		forced: map[string]int64{}, once: map[string]bool{}, denied: map[string]bool{},
	}
	t.res.Refused = map[string]int{}
	return t
}

// run sends n requests.
func (t *platformTraffic) run(n int) {
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range jobs {
				t.request()
			}
		})
	}
	for i := range n {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
}

// call is one request of a caller.
type call struct {
	route string
	head  relay.RequestHead
}

func (t *platformTraffic) draw() call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.res.Requests++
	c := call{route: "status", head: relay.RequestHead{ID: fmt.Sprintf("request-%d", t.number), Timeout: 3 * time.Second}}
	switch u := t.rng.Float64(); {
	case u < streamShare:
		rank := int(engineAdapters * t.rng.Float64() * t.rng.Float64())
		c.route = "chat"
		c.head.Timeout, c.head.Model, c.head.Adapter = 6*time.Second, baseModel, fmt.Sprintf("a%d", rank+1)
		c.head.PromptTokens, c.head.MaxTokens = 100+t.rng.IntN(600), 4+t.rng.IntN(12)
	case u < streamShare+orderPart:
		c.route = "orders"
	}
	return c
}

// request sends a request until it is served or must not be tried again.
func (t *platformTraffic) request() {
	c := t.draw()
	id := c.head.ID
	for try := range callerTries {
		c.head.ID = fmt.Sprintf("%s.%d", id, try)
		again, pause := t.attempt(c)
		if !again {
			return
		}
		time.Sleep(min(pause, longestPause))
	}
	t.count(func(r *PlatformResult) { r.Failed++ })
}

func (t *platformTraffic) attempt(c call) (again bool, pause time.Duration) {
	t.mu.Lock()
	front := t.fronts[t.rng.IntN(len(t.fronts))]
	want := t.forced[c.head.Adapter]
	if c.route == "orders" {
		t.once[c.head.ID] = true
	}
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/"+c.route+"/", strings.NewReader("body of "+c.head.ID))
	if err != nil {
		panic(err) // made of constants and numbers
	}
	req.Host = "assist.example"
	platform.EncodeRequestHead(req.Header, c.head)
	start := time.Now()
	resp, err := t.w.client.Do(req)
	if err != nil {
		return c.route != "orders", 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return t.refused(c, resp)
	}
	if c.route == "chat" {
		return !t.readStream(c, resp, want, start), 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.route != "orders", 0
	}
	t.judge(string(body) == standin.PlainResponse(c.head.ID), true)
	return false, 0
}

// promisesNotRun lists the statuses that promise that a request has not run.
var promisesNotRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// refused notes a refusal, and reports whether and when the caller comes back.
func (t *platformTraffic) refused(c call, resp *http.Response) (again bool, pause time.Duration) {
	notRun := slices.Contains(promisesNotRun, resp.StatusCode)
	t.mu.Lock()
	t.res.Refused[fmt.Sprintf("%d %s", resp.StatusCode, c.route)]++
	if notRun {
		t.denied[c.head.ID] = true
	}
	t.mu.Unlock()
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent means at once
	return notRun || c.route != "orders", time.Duration(s * float64(time.Second))
}

// readStream judges a stream's events; it reports false when it was cut.
func (t *platformTraffic) readStream(c call, resp *http.Response, want int64, start time.Time) bool {
	sc := bufio.NewScanner(resp.Body)
	n, answering := 0, ""
	right := true
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		n++
		if n == 1 {
			answering, _, _ = strings.Cut(data, " ")
			t.count(func(*PlatformResult) { _ = t.first.RecordValue(time.Since(start).Milliseconds() + 1) }) // under ten minutes
		}
		right = right && data == standin.EventData(c.head.ID, answering, n)
	}
	if n < c.head.MaxTokens {
		return false
	}
	name, version, _ := strings.Cut(answering, "@")
	v, err := strconv.ParseInt(version, 10, 64)
	t.judge(right && n == c.head.MaxTokens, name == c.head.AdapterName() && err == nil && v >= want)
	return true
}

func (t *platformTraffic) judge(rightBytes, rightVersion bool) {
	t.count(func(r *PlatformResult) {
		switch {
		case !rightBytes:
			r.WrongBytes++
		case !rightVersion:
			r.WrongVersion++
		default:
			r.Served++
		}
	})
}

func (t *platformTraffic) count(f func(r *PlatformResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.res)
}

// leave takes a daemon out of the balancer's rotation.
func (t *platformTraffic) leave(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fronts = append(t.fronts[:i], t.fronts[i+1:]...)
}

// finish judges by what the replicas saw.
func (t *platformTraffic) finish() {
	r := &t.res
	ran := map[string]int{}
	for _, s := range slices.Concat(t.w.replicas, t.w.ledgers) {
		rec := s.Record()
		r.EngineCrashes += rec.Crashes
		r.OwnerAlternations += rec.OwnerAlternations(holderGap)
		for id, n := range rec.Executions {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if t.once[id] && n > 1 {
			r.RanTwice++
		}
		if t.denied[id] {
			r.NotRunButRan++
		}
	}
	r.FirstEventP50MS, r.FirstEventP99MS = t.first.ValueAtQuantile(50), t.first.ValueAtQuantile(99)
}
