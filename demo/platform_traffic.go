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
	streamFraction        = 0.6
	platformOrderFraction = 0.2
	maxAttempts           = 3
	maxRetryDelay         = time.Second // that a caller of the demo waits when it is told to come back
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

	mu               sync.Mutex
	rng              *rand.Rand
	res              PlatformResult
	firstEvent       *hdrhistogram.Histogram
	callerAddrs      []string         // that the balancer uses
	requiredVersions map[string]int64 // versions that must be served by now
	atMostOnce       map[string]bool  // attempts of requests that run at most once
	notRun           map[string]bool  // attempts that were answered as not run
	lastNumber       int
}

func newPlatformTraffic(w *platformWorld, seed uint64) *platformTraffic {
	t := &platformTraffic{
		w: w, rng: rand.New(rand.NewPCG(seed, 3)),
		firstEvent: hdrhistogram.New(1, maxLatencyMS, 3), callerAddrs: slices.Clone(w.callerAddrs),
		requiredVersions: map[string]int64{}, atMostOnce: map[string]bool{}, notRun: map[string]bool{},
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
				t.send()
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

func (t *platformTraffic) nextCall() call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	t.res.Requests++
	c := call{route: "status", head: relay.RequestHead{ID: fmt.Sprintf("request-%d", t.lastNumber), Timeout: 3 * time.Second}}
	switch u := t.rng.Float64(); {
	case u < streamFraction:
		rank := int(engineAdapters * t.rng.Float64() * t.rng.Float64())
		c.route = "chat"
		c.head.Timeout, c.head.Model, c.head.Adapter = 6*time.Second, baseModel, fmt.Sprintf("a%d", rank+1)
		c.head.PromptTokens, c.head.MaxTokens = 100+t.rng.IntN(600), 4+t.rng.IntN(12)
	case u < streamFraction+platformOrderFraction:
		c.route = "orders"
	}
	return c
}

// request sends a request until it is served or must not be tried again.
func (t *platformTraffic) send() {
	c := t.nextCall()
	id := c.head.ID
	for attempt := range maxAttempts {
		c.head.ID = fmt.Sprintf("%s.%d", id, attempt)
		retry, delay := t.sendAttempt(c)
		if !retry {
			return
		}
		time.Sleep(min(delay, maxRetryDelay))
	}
	t.count(func(r *PlatformResult) { r.Failed++ })
}

func (t *platformTraffic) sendAttempt(c call) (retry bool, delay time.Duration) {
	t.mu.Lock()
	addr := t.callerAddrs[t.rng.IntN(len(t.callerAddrs))]
	want := t.requiredVersions[c.head.Adapter]
	if c.route == "orders" {
		t.atMostOnce[c.head.ID] = true
	}
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+c.route+"/", strings.NewReader("body of "+c.head.ID))
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
		return t.countRefusal(c, resp)
	}
	if c.route == "chat" {
		return !t.readStream(c, resp, want, start), 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.route != "orders", 0
	}
	t.countResponse(string(body) == standin.PlainResponse(c.head.ID), true)
	return false, 0
}

// notRunStatuses lists the statuses that promise that a request has not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// refused notes a refusal, and reports whether and when the caller comes back.
func (t *platformTraffic) countRefusal(c call, resp *http.Response) (retry bool, delay time.Duration) {
	notRun := slices.Contains(notRunStatuses, resp.StatusCode)
	t.mu.Lock()
	t.res.Refused[fmt.Sprintf("%d %s", resp.StatusCode, c.route)]++
	if notRun {
		t.notRun[c.head.ID] = true
	}
	t.mu.Unlock()
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent means at once
	return notRun || c.route != "orders", time.Duration(s * float64(time.Second))
}

// readStream judges a stream's events; it reports false when it was cut.
func (t *platformTraffic) readStream(c call, resp *http.Response, want int64, start time.Time) bool {
	sc := bufio.NewScanner(resp.Body)
	n, served := 0, ""
	correct := true
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		n++
		if n == 1 {
			served, _, _ = strings.Cut(data, " ")
			t.count(func(*PlatformResult) { _ = t.firstEvent.RecordValue(time.Since(start).Milliseconds() + 1) }) // under ten minutes
		}
		correct = correct && data == standin.EventData(c.head.ID, served, n)
	}
	if n < c.head.MaxTokens {
		return false
	}
	name, version, _ := strings.Cut(served, "@")
	v, err := strconv.ParseInt(version, 10, 64)
	t.countResponse(correct && n == c.head.MaxTokens, name == c.head.AdapterName() && err == nil && v >= want)
	return true
}

func (t *platformTraffic) countResponse(correctBytes, correctVersion bool) {
	t.count(func(r *PlatformResult) {
		switch {
		case !correctBytes:
			r.WrongBytes++
		case !correctVersion:
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
func (t *platformTraffic) removeDaemon(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerAddrs = append(t.callerAddrs[:i], t.callerAddrs[i+1:]...)
}

// finish judges by what the replicas saw.
func (t *platformTraffic) collect() {
	r := &t.res
	executions := map[string]int{}
	for _, s := range slices.Concat(t.w.replicas, t.w.ledgers) {
		rec := s.Record()
		r.EngineCrashes += rec.Crashes
		r.OwnerAlternations += rec.OwnerAlternations(ownerAlternationGap)
		for id, n := range rec.Executions {
			executions[id] += n
		}
	}
	for id, n := range executions {
		if t.atMostOnce[id] && n > 1 {
			r.RanTwice++
		}
		if t.notRun[id] {
			r.NotRunButRan++
		}
	}
	r.FirstEventP50MS, r.FirstEventP99MS = t.firstEvent.ValueAtQuantile(50), t.firstEvent.ValueAtQuantile(99)
}
