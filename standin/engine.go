package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// EngineFault selects the failures of an [Engine]. A counter is decremented each
// time that its failure is applied.
type EngineFault struct {
	Down            bool
	Slowdown        float64       // factor on the step time
	FailLoads       int           // number of loads that fail
	CutAfterTokens  int           // tokens after which a stream is interrupted
	CutStreams      int           // number of streams that are interrupted
	ForeignChunks   int           // number of streams with chunks of another request
	DuplicateChunks int           // number of streams that send each chunk twice
	Delay           time.Duration // delay of every response
	Drip            Drip          // streams that stall
}

// Engine is a stand-in for a model engine.
type Engine struct {
	Slots         int
	BatchSize     int
	ChecksFencing bool
	// EvictsWhenFull makes a load evict another adapter when no slot is free;
	// otherwise the load is refused.
	EvictsWhenFull bool
	ReportLag      time.Duration // age of the state in reports
	Timing         Timing
	// SenderOf, if set, returns the name of the node that sent a command.
	SenderOf func(r *http.Request) string
	// OnUnload, if set, is called before an adapter is unloaded.
	OnUnload func(name string)

	mu           sync.Mutex
	fault        EngineFault
	bootCount    int
	fencingToken int64
	loaded       map[string]bool
	batch        Batch
	queue        []*stream
	streams      map[string]*stream
	stepping     bool
	reports      []timedReport
	draining     bool
	record       EngineRecord
}

// EngineRecord is what an engine received and did. Its fields are encoded as JSON
// under their own names.
type EngineRecord struct {
	Served       int // completions that were generated to the end
	Tokens       int
	Loads        int
	Unloads      int
	EvictedInUse int            // adapters that were unloaded while a stream used them
	StaleOrders  int            // commands refused because of an old fencing token
	Started      map[string]int // starts by request ID
	Commands     []Arrival      // all that arrived, also those that were refused
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

// SetFault replaces the injected failures.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.batch.Slowdown = f.Slowdown
}

// SetDraining sets whether the engine reports that it is draining.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Record returns a copy of the engine's record.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Started, r.Commands = maps.Clone(e.record.Started), slices.Clone(e.record.Commands)
	return r
}

// Restart unloads all adapters, forgets the fencing token and aborts all streams.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootCount++
	e.fencingToken = 0
	e.loaded = nil
	e.reports = nil
	for _, s := range e.streams {
		e.endStream(s)
	}
}

// Loaded returns the sorted names of the loaded adapters.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.loaded))
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, boot := e.fault, e.bootCount
	e.mu.Unlock()
	if fault.Down {
		e.turnAwayCommand(r)
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	w.Header().Set(engine.HeaderEngineBoot, "boot-"+strconv.Itoa(boot))
	if id := r.Header.Get(engine.HeaderRequestID); id != "" {
		w.Header().Set(engine.HeaderRequestID, id)
	}
	switch r.URL.Path {
	case engine.PathCompletions, engine.PathChat:
		e.serveCompletion(w, r)
	case engine.PathLoad:
		e.serveCommand(w, r, e.load)
	case engine.PathUnload:
		e.serveCommand(w, r, e.unload)
	case engine.PathFence:
		e.serveCommand(w, r, func(string) (int, string) { return http.StatusOK, "" })
	case engine.PathCancel:
		e.serveCancel(w, r)
	case engine.PathReport:
		writeJSON(w, http.StatusOK, e.report(time.Now()))
	default:
		http.NotFound(w, r)
	}
}

func writeError(w http.ResponseWriter, status int, kind string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"type": kind, "message": kind}})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c struct {
		ID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad-order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[c.ID]; s != nil {
		e.endStream(s)
	}
}

// report returns the latest report that is at least ReportLag old, or the oldest
// one that is kept if all are newer.
func (e *Engine) report(now time.Time) engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := engine.LoadReport{
		Boot: "boot-" + strconv.Itoa(e.bootCount), Loaded: slices.Sorted(maps.Keys(e.loaded)),
		Streams: slices.Sorted(maps.Keys(e.streams)), Running: len(e.streams), Draining: e.draining,
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
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	Messages   []struct{ Content string }
	MaxTokens  int `json:"max_tokens"`
	Priority   int `json:"priority"`
	ResumeFrom int `json:"resume_from"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.MaxTokens < 1 {
		writeError(w, http.StatusBadRequest, "bad-request")
		return
	}
	for _, m := range req.Messages {
		req.Prompt += m.Content
	}
	id := r.Header.Get(engine.HeaderRequestID)
	s := &stream{
		job:   &Job{ID: id, Adapter: req.Model, PromptTokens: len(req.Prompt)/4 + 1, MaxTokens: req.MaxTokens, Generated: req.ResumeFrom},
		model: req.Model, prompt: req.Prompt, priority: req.Priority,
		chat: r.URL.Path == engine.PathChat, tokens: make(chan int, req.MaxTokens),
	}
	if status, kind := e.enqueue(s); status != http.StatusOK {
		writeError(w, status, kind)
		return
	}
	defer e.removeStream(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // sends the headers before the first token
	e.writeStream(w, r, s)
}

// enqueue admits a stream to the queue, or returns the status and kind of a refusal.
func (e *Engine) enqueue(s *stream) (int, string) {
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
		e.record.Started = make(map[string]int)
		e.batch.Timing = e.Timing
	}
	e.streams[s.job.ID] = s
	e.record.Started[s.job.ID]++
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	e.fillBatch()
	return http.StatusOK, ""
}

// fillBatch moves queued requests into the batch while it has room, and starts
// runBatch if it is not running. e.mu must be held.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && e.batch.Len() < e.BatchSize {
		e.batch.Add(e.queue[0].job)
		e.queue = e.queue[1:]
	}
	if e.batch.Len() > 0 && !e.stepping {
		e.stepping = true
		go e.runBatch()
	}
}

// runBatch runs steps until the batch is empty.
func (e *Engine) runBatch() {
	for {
		e.mu.Lock()
		if e.batch.Len() == 0 {
			e.stepping = false
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
				e.record.Tokens++
				s.tokens <- j.Generated - 1
				if j.Generated >= j.MaxTokens {
					e.record.Served++
					e.endStream(s)
				}
			}
		}
		e.fillBatch()
		e.mu.Unlock()
	}
}

// endStream closes a stream's tokens and removes its job. e.mu must be held.
func (e *Engine) endStream(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	close(s.tokens)
	e.batch.Remove(s.job.ID)
	e.queue = slices.DeleteFunc(e.queue, func(o *stream) bool { return o == s })
}

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStream(s)
	delete(e.streams, s.job.ID)
	e.fillBatch()
}

// useFault reports whether a failure's counter is above zero, and decrements it.
func (e *Engine) useFault(count *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream) {
	rc := http.NewResponseController(w)
	duplicateChunks, foreignChunk := e.useFault(&e.fault.DuplicateChunks), e.useFault(&e.fault.ForeignChunks)
	e.mu.Lock()
	cutAfter := e.fault.CutAfterTokens
	drip, drips := e.fault.Drip.take()
	drip.Text = strings.NewReplacer("{id}", s.job.ID, "{model}", s.model).Replace(drip.Text)
	e.mu.Unlock()
	cut := cutAfter > 0 && e.useFault(&e.fault.CutStreams)
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
			return // ended without the [DONE] event
		}
		if cut && sent == cutAfter {
			panic(http.ErrAbortHandler)
		}
		if drips && sent == drip.After && !drip.write(w, r) {
			return
		}
		if foreignChunk {
			writeEvent(w, s.chunk("another-request", i))
		}
		writeEvent(w, s.chunk(s.job.ID, i))
		if duplicateChunks {
			writeEvent(w, s.chunk(s.job.ID, i))
		}
		sent++
		if i == s.job.MaxTokens-1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = rc.Flush() // an error means that the client closed the connection
	}
}

func writeEvent(w http.ResponseWriter, c engine.Chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // a chunk always encodes
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
