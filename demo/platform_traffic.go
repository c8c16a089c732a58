package demo

import (
	"bufio"
	"cmp"
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
	"github.com/vanilladrift/vanilladrift/route"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	platformStreamFraction = 0.6
	platformOrderFraction  = 0.2
	maxAttempts            = 3
	maxRetryDelay          = time.Second // bounds the delay that a Retry-After header asks for
	connectionRetryDelay   = 100 * time.Millisecond
)

// PlatformResult holds the counts and latencies of a run on the platform.
type PlatformResult struct {
	Requests          int            `json:"requests"`
	Served            int            `json:"served"`
	Refused           map[string]int `json:"refused"` // attempts by status and route
	Failed            int            `json:"failed"`  // requests that were not served in maxAttempts attempts
	WrongBytes        int            `json:"wrong-bytes"`
	WrongVersion      int            `json:"wrong-version"`
	RanTwice          int            `json:"ran-twice"`
	NotRunButRan      int            `json:"not-run-but-ran"`
	EngineCrashes     int            `json:"engine-crashes"`
	OwnerAlternations int            `json:"owners-back-and-forth"`
	StartedAfterDrain int            `json:"started-after-drain"`
	LateArrivals      int            `json:"crashing-requests"` // arrivals of a request later than crashLearningTime after its third crash
	Falls             int            `json:"brittle-falls"`     // of brittle servers that turned too many requests away
	TakenUp           int            `json:"taken-up"`          // streams that broke off, and that their callers took up
	WentOn            int            `json:"went-on"`           // of these, those that brought another event
	MixedBuilds       int            `json:"mixed-builds"`      // streams with events of two software versions
	Commands          int            `json:"commands"`          // that arrived at engines
	WithKey           int            `json:"with-key"`          // requests of any kind that replicas got with the key of a client account
	WrongAccount      int            `json:"wrong-account"`     // requests that a replica ran under another client account than its caller's
	LoggedKeys        int            `json:"logged-keys"`       // lines of the daemons' log with a key
	Unauthorized      int            `json:"unauthorized"`      // requests with a key that authenticates nobody, refused for good
	Admitted          int            `json:"admitted"`          // of such requests, those that were not
	OwnerViolations   []string       `json:"owner-violations"`  // commands of two owners of an engine
	FirstEventP50MS   int64          `json:"first-event-p50-ms"`
	FirstEventP99MS   int64          `json:"first-event-p99-ms"`
}

// platformTraffic sends requests and checks the responses.
type platformTraffic struct {
	sys *platformSystem

	mu                sync.Mutex
	rng               *rand.Rand
	result            PlatformResult
	firstEventLatency *hdrhistogram.Histogram
	callerAddrs       []string         // addresses in the balancer's rotation
	requiredVersions  map[string]int64 // by adapter: lowest version that may be served
	atMostOnce        map[string]bool  // attempts of requests that may run at most once
	notRun            map[string]bool  // attempts that were reported as not run
	lastRequestNumber int
	accounts          []route.AccountKeys // of the callers; without any, their requests have no key
	accountOf         map[string]string   // client account by attempt
	maxAttempts       int                 // of a request
	baseModelOnly     bool                // streams ask for no adapter
	lostConnections   float64             // part of the streams whose callers lose their connection after two events
	crashes           int                 // requests sent that crash servers
}

func newPlatformTraffic(sys *platformSystem, seed uint64) *platformTraffic {
	t := &platformTraffic{
		sys: sys, rng: rand.New(rand.NewPCG(seed, 3)),
		firstEventLatency: hdrhistogram.New(1, maxLatencyMS, 3), callerAddrs: slices.Clone(sys.callerAddrs),
		requiredVersions: map[string]int64{}, atMostOnce: map[string]bool{}, notRun: map[string]bool{}, accountOf: map[string]string{}, maxAttempts: maxAttempts,
	}
	t.result.Refused = map[string]int{}
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

// call is a request of a caller.
type call struct {
	route   string
	account string // client account; empty if it has none
	head    relay.RequestHead
	query   string
	body    string // empty means one that names the request's ID
	stream  streamSoFar
}

// newRequest returns the request to the daemon at an address.
func (c *call) newRequest(address string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+c.route+"/?"+c.query, strings.NewReader(cmp.Or(c.body, "body of "+c.head.ID)))
	if err != nil {
		panic(err) // the URL consists of constants and an address
	}
	req.Host = "assist.example"
	platform.EncodeRequestHead(req.Header, c.head)
	return req
}

// streamSoFar is what a caller has of a stream, over all its attempts.
type streamSoFar struct {
	attempt string // that brought the first event
	events  int
	build   string // software version of the server that sent them
	takenUp bool   // a further attempt was made
	wentOn  bool   // a further attempt brought an event
}

func (t *platformTraffic) nextCall() call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRequestNumber++
	t.result.Requests++
	c := call{route: "status", head: relay.RequestHead{ID: fmt.Sprintf("request-%d", t.lastRequestNumber), Timeout: 3 * time.Second}}
	switch u := t.rng.Float64(); {
	case u < platformStreamFraction:
		rank := int(engineAdapters * t.rng.Float64() * t.rng.Float64())
		c.route = "chat"
		c.head.Timeout, c.head.Model, c.head.Adapter = 6*time.Second, baseModel, fmt.Sprintf("a%d", rank+1)
		if t.baseModelOnly {
			c.head.Adapter = ""
		}
		c.head.PromptTokens, c.head.MaxTokens = 100+t.rng.IntN(600), 4+t.rng.IntN(12)
		c.head.PromptParts = []string{fmt.Sprintf("system-%d", rank%3), fmt.Sprintf("subject-%d", rank)}
	case u < platformStreamFraction+platformOrderFraction:
		c.route = "orders"
	}
	if len(t.accounts) > 0 {
		a := t.accounts[t.rng.IntN(len(t.accounts))]
		c.head.Key = a.Keys[0]
		if c.route != publicRoute {
			c.account = a.Account.Name
		}
	}
	return c
}

// send sends a request until it is served or must not be retried.
func (t *platformTraffic) send() {
	c := t.nextCall()
	id := c.head.ID
	c.body = cmp.Or(c.body, "body of "+id)
	for attempt := range t.maxAttempts {
		c.head.ID = fmt.Sprintf("%s.%d", id, attempt)
		retry, delay := t.sendAttempt(&c)
		if !retry {
			return
		}
		time.Sleep(min(delay, maxRetryDelay))
	}
	t.updateResult(func(r *PlatformResult) { r.Failed++ })
}

// sendAttempt sends a request once, checks the response, and reports whether and
// after which delay to retry.
func (t *platformTraffic) sendAttempt(c *call) (retry bool, delay time.Duration) {
	if c.stream.events > 0 {
		c.head.Resumes, c.head.LastEventID = c.stream.attempt, strconv.Itoa(c.stream.events)
		t.countOnce(&c.stream.takenUp, func(r *PlatformResult) { r.TakenUp++ })
	}
	t.mu.Lock()
	addr := t.callerAddrs[t.rng.IntN(len(t.callerAddrs))]
	t.accountOf[c.head.ID] = c.account
	minVersion := t.requiredVersions[c.head.Adapter]
	if c.route == "orders" {
		t.atMostOnce[c.head.ID] = true
	}
	t.mu.Unlock()
	start := time.Now()
	resp, err := t.sys.client.Do(c.newRequest(addr))
	if err != nil {
		return c.route != "orders", connectionRetryDelay
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return t.countRefusal(c, resp)
	}
	if c.route == "chat" {
		return !t.readStream(c, resp, minVersion, start), 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.route != "orders", 0
	}
	t.countResponse(string(body) == standin.PlainResponse(c.head.ID), true)
	return false, 0
}

// notRunStatuses are the statuses that guarantee that a request has not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// countRefusal counts a refusal, and reports whether and after which delay to retry.
func (t *platformTraffic) countRefusal(c *call, resp *http.Response) (retry bool, delay time.Duration) {
	notRun := slices.Contains(notRunStatuses, resp.StatusCode)
	t.mu.Lock()
	t.result.Refused[fmt.Sprintf("%d %s", resp.StatusCode, c.route)]++
	if notRun {
		t.notRun[c.head.ID] = true
	}
	t.mu.Unlock()
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent means no delay
	return notRun || c.route != "orders", time.Duration(s * float64(time.Second))
}

// readStream checks a stream's events, and reports whether the stream was complete.
func (t *platformTraffic) readStream(c *call, resp *http.Response, minVersion int64, start time.Time) bool {
	sc := bufio.NewScanner(resp.Body)
	first, adapterVersion := c.stream.events+1, ""
	correct, mixed := true, false
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		c.stream.events++
		_, build, _ := strings.Cut(data, " by ")
		switch c.stream.events {
		case 1:
			c.stream.attempt, c.stream.build = c.head.ID, build
			t.updateResult(func(*PlatformResult) { _ = t.firstEventLatency.RecordValue(time.Since(start).Milliseconds() + 1) }) // always below maxLatencyMS
		case first:
			t.countOnce(&c.stream.wentOn, func(r *PlatformResult) { r.WentOn++ })
		}
		if c.stream.events == first {
			adapterVersion, _, _ = strings.Cut(data, " ")
		}
		if c.stream.events == 2 && !c.stream.takenUp && t.losesConnection() {
			return false
		}
		correct = correct && data == standin.EventData(c.head.ID, adapterVersion, build, c.stream.events)
		mixed = mixed || build != c.stream.build
	}
	if mixed {
		t.updateResult(func(r *PlatformResult) { r.MixedBuilds++ })
	}
	if c.stream.events < c.head.MaxTokens {
		if sc.Err() == nil { // a stream that broke off must not look complete
			t.countResponse(false, true)
			return true
		}
		return false
	}
	name, version, _ := strings.Cut(adapterVersion, "@")
	v, err := strconv.ParseInt(version, 10, 64)
	t.countResponse(correct && c.stream.events == c.head.MaxTokens, name == c.head.AdapterName() && err == nil && v >= minVersion)
	return true
}

// losesConnection reports whether the caller of a stream loses its connection.
func (t *platformTraffic) losesConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lostConnections > 0 && t.rng.Float64() < t.lostConnections
}

// countResponse counts a complete response by its checks.
func (t *platformTraffic) countResponse(correctBody, correctVersion bool) {
	t.updateResult(func(r *PlatformResult) {
		switch {
		case !correctBody:
			r.WrongBytes++
		case !correctVersion:
			r.WrongVersion++
		default:
			r.Served++
		}
	})
}

// countOnce updates the result the first time that something happens to a stream.
func (t *platformTraffic) countOnce(happened *bool, f func(r *PlatformResult)) {
	if !*happened {
		*happened = true
		t.updateResult(f)
	}
}

func (t *platformTraffic) updateResult(f func(r *PlatformResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

// removeDaemon removes a daemon from the balancer's rotation.
func (t *platformTraffic) removeDaemon(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerAddrs = append(t.callerAddrs[:i], t.callerAddrs[i+1:]...)
}

// collect completes the result with the replicas' records.
func (t *platformTraffic) collect() {
	r := &t.result
	executions := map[string]int{}
	for _, s := range slices.Concat(t.sys.replicas, t.sys.ledgers) {
		rec := s.Record()
		r.EngineCrashes += rec.Crashes
		r.OwnerAlternations += rec.OwnerAlternations(ownerAlternationGap)
		r.Commands += len(rec.Commands)
		r.WithKey += rec.WithKey
		for id, n := range rec.Executions {
			executions[id] += n
			if rec.Accounts[id] != t.accountOf[id] {
				r.WrongAccount++
			}
		}
	}
	r.OwnerViolations = t.sys.ownerViolations()
	for id, n := range executions {
		if t.atMostOnce[id] && n > 1 {
			r.RanTwice++
		}
		if t.notRun[id] {
			r.NotRunButRan++
		}
	}
	r.FirstEventP50MS, r.FirstEventP99MS = t.firstEventLatency.ValueAtQuantile(50), t.firstEventLatency.ValueAtQuantile(99)
}
