package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// EngineFault switches failures of an [Engine] on. The counters fall by one
// with each use.
type EngineFault struct {
	Down            bool
	Slowdown        float64       // times slower than normal
	FailLoads       int           // loads that fail
	CutAfterTokens  int           // streams are cut after this many tokens ...
	CutStreams      int           // ... this many times
	ForeignChunks   int           // streams that carry a chunk of another answer
	DuplicateChunks int           // streams whose chunks come twice
	Delay           time.Duration // delay of every answer
}

// Engine is a stand-in for a model engine.
type Engine struct {
	Slots         int
	BatchSize     int
	ChecksFencing bool
	// EvictsWhenFull makes a load evict an adapter when no slot is free;
	// otherwise such a load is refused.
	EvictsWhenFull bool
	ReportLag      time.Duration
	Timing         Timing
	// OnUnload, if set, is called before an adapter is unloaded.
	OnUnload func(name string)

	mu      sync.Mutex
	fault   EngineFault
	boot    int
	token   int64
	loaded  map[string]bool
	batch   Batch
	queue   []*stream
	streams map[string]*stream
	ticking bool
	reports []timedReport
	leaving bool
	seen    EngineRecord
}

// EngineRecord is what an engine saw, for a test to judge by.
type EngineRecord struct {
	Served       int // answers that were generated whole
	Tokens       int
	Loads        int
	Unloads      int
	EvictedInUse int // adapters that were unloaded while a stream used them
	StaleOrders  int // orders refused for an old fencing token
	Started      map[string]int
}

type timedReport struct {
	at     time.Time
	report engine.LoadReport
}

type stream struct {
	job      *Job
	model    string
	prompt   string
	priority int
	chat     bool
	tokens   chan int // indices of generated tokens
	ended    bool
}

// SetFault replaces the failures in force.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.batch.Slowdown = f.Slowdown
}

// SetDraining makes the engine report that it is leaving.
func (e *Engine) SetDraining(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Record returns what the engine saw so far.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.seen
	r.Started = maps.Clone(e.seen.Started)
	return r
}

// Restart loses everything that the engine holds and cuts its streams.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.token = 0
	e.loaded = nil
	e.reports = nil
	for _, s := range e.streams {
		e.end(s)
	}
}

// Loaded returns the names of the adapters that the engine holds, sorted.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.loaded))
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, boot := e.fault, e.boot
	e.mu.Unlock()
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	w.Header().Set(engine.HeaderEngineBoot, "boot-"+strconv.Itoa(boot))
	switch r.URL.Path {
	case engine.PathCompletions, engine.PathChat:
		e.serveCompletion(w, r)
	case engine.PathLoad:
		e.serveOrder(w, r, e.load)
	case engine.PathUnload:
		e.serveOrder(w, r, e.unload)
	case engine.PathFence:
		e.serveOrder(w, r, func(string) (int, string) { return http.StatusOK, "" })
	case engine.PathCancel:
		e.serveCancel(w, r)
	case engine.PathReport:
		writeJSON(w, http.StatusOK, e.report(time.Now()))
	default:
		http.NotFound(w, r)
	}
}

func fail(w http.ResponseWriter, status int, kind string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"type": kind, "message": kind}})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c struct {
		ID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		fail(w, http.StatusBadRequest, "bad-order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[c.ID]; s != nil {
		e.end(s)
	}
}

// report returns the newest report that is at least ReportLag old.
func (e *Engine) report(now time.Time) engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := engine.LoadReport{
		Boot: "boot-" + strconv.Itoa(e.boot), Loaded: slices.Sorted(maps.Keys(e.loaded)),
		Streams: slices.Sorted(maps.Keys(e.streams)), Running: len(e.streams), Draining: e.leaving,
	}
	if e.ReportLag == 0 {
		return r
	}
	e.reports = append(e.reports, timedReport{now, r})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.ReportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].report
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Messages  []struct{ Content string }
	MaxTokens int `json:"max_tokens"`
	Priority  int `json:"priority"`
	Resume    int `json:"resume_from"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.MaxTokens < 1 {
		fail(w, http.StatusBadRequest, "bad-request")
		return
	}
	for _, m := range req.Messages {
		req.Prompt += m.Content
	}
	id := r.Header.Get(engine.HeaderRequestID)
	s := &stream{
		job:   &Job{ID: id, Adapter: req.Model, PromptTokens: len(req.Prompt)/4 + 1, MaxTokens: req.MaxTokens, Generated: req.Resume},
		model: req.Model, prompt: req.Prompt, priority: req.Priority,
		chat: r.URL.Path == engine.PathChat, tokens: make(chan int, req.MaxTokens),
	}
	if status, kind := e.start(s); status != http.StatusOK {
		fail(w, status, kind)
		return
	}
	defer e.finish(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderRequestID, id)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the first token may be far away
	e.write(w, r, s)
}

func (e *Engine) start(s *stream) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded[s.model] {
		return http.StatusNotFound, "adapter-not-loaded"
	}
	if e.streams[s.job.ID] != nil {
		return http.StatusConflict, "duplicate-request-id"
	}
	if e.streams == nil {
		e.streams = make(map[string]*stream)
		e.seen.Started = make(map[string]int)
		e.batch.Timing = e.Timing
	}
	e.streams[s.job.ID] = s
	e.seen.Started[s.job.ID]++
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	e.fill()
	return http.StatusOK, ""
}

// fill moves queued requests into free places and keeps the batch running.
func (e *Engine) fill() {
	for len(e.queue) > 0 && e.batch.Len() < e.BatchSize {
		e.batch.Add(e.queue[0].job)
		e.queue = e.queue[1:]
	}
	if e.batch.Len() > 0 && !e.ticking {
		e.ticking = true
		go e.tick()
	}
}

// tick runs the batch step by step until it is empty.
func (e *Engine) tick() {
	for {
		e.mu.Lock()
		if e.batch.Len() == 0 {
			e.ticking = false
			e.mu.Unlock()
			return
		}
		d := e.batch.StepTime()
		e.mu.Unlock()
		time.Sleep(d)
		e.mu.Lock()
		jobs := slices.Clone(e.batch.Jobs())
		e.batch.Step()
		for _, j := range jobs {
			if s := e.streams[j.ID]; s != nil && !s.ended {
				e.seen.Tokens++
				s.tokens <- j.Generated - 1
				if j.Generated >= j.MaxTokens {
					e.seen.Served++
					e.end(s)
				}
			}
		}
		e.fill()
		e.mu.Unlock()
	}
}

func (e *Engine) end(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	close(s.tokens)
	e.batch.Remove(s.job.ID)
	e.queue = slices.DeleteFunc(e.queue, func(o *stream) bool { return o == s })
}

func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(s)
	delete(e.streams, s.job.ID)
	e.fill()
}

// take uses up one of the counted failures.
func (e *Engine) take(n *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) write(w http.ResponseWriter, r *http.Request, s *stream) {
	rc := http.NewResponseController(w)
	duplicate, cross := e.take(&e.fault.DuplicateChunks), e.take(&e.fault.ForeignChunks)
	e.mu.Lock()
	cutAfter := e.fault.CutAfterTokens
	e.mu.Unlock()
	cut := cutAfter > 0 && e.take(&e.fault.CutStreams)
	sent := 0
	for {
		var i int
		var ok bool
		select {
		case i, ok = <-s.tokens:
		case <-r.Context().Done():
			return
		}
		if !ok {
			return // cut before the end marker
		}
		if cut && sent == cutAfter {
			panic(http.ErrAbortHandler)
		}
		if cross {
			writeEvent(w, s.chunk("another-request", i))
		}
		writeEvent(w, s.chunk(s.job.ID, i))
		if duplicate {
			writeEvent(w, s.chunk(s.job.ID, i))
		}
		sent++
		if i == s.job.MaxTokens-1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = rc.Flush() // the caller has gone away
	}
}

func writeEvent(w http.ResponseWriter, c engine.Chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // chunks hold only strings and numbers
	}
	fmt.Fprintf(w, "data: %s\n\n", b)
}

func (s *stream) chunk(id string, i int) engine.Chunk {
	text := TokenText(s.model, s.prompt, i)
	c := engine.Chunk{ID: "cmpl-" + id, Object: "text_completion", Model: s.model, Choices: []engine.Choice{{Text: text}}}
	if s.chat {
		c.Object = "chat.completion.chunk"
		c.Choices = []engine.Choice{{Delta: &engine.Delta{Content: text}}}
	}
	if i == s.job.MaxTokens-1 {
		reason := "length"
		c.Choices[0].FinishReason = &reason
	}
	c.Usage = &engine.Usage{PromptTokens: s.job.PromptTokens, CompletionTokens: i + 1, TotalTokens: s.job.PromptTokens + i + 1}
	return c
}
