package standin

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
)

// ReplicaFault switches failures of a [Replica] on. The counters fall by one
// with each use.
type ReplicaFault struct {
	LoseCommands  int           // orders that get no answer and are carried out late ...
	CommandDelay  time.Duration // ... by this much
	CutStreams    int           // streams that break after their third event
	LoseResponses int           // plain requests that run and get no answer
}

// Replica is a stand-in for a server of the platform: a model engine that takes
// numbered orders, or without a Model a plain server. It describes itself through
// Announce, which must be set; the other fields have usable zero values.
type Replica struct {
	Self            backend.Server // without Born, Models and Sequence
	Model           string         // that it starts with
	AdapterSlots    int
	AdapterLoadTime time.Duration // of an adapter that it never held; a tenth for others
	ModelLoadTime   time.Duration // of the base model
	PrefillTime     time.Duration // of a prompt token
	EventTime       time.Duration // of an event, or of a plain request's work
	ReportLag       time.Duration
	QueueSize       int // requests that may wait for a place
	// LatestVersion returns the announced version of an adapter; nil means always 1.
	LatestVersion func(name string) int64
	// WriteRow writes the replica's row.
	WriteRow func(row []byte)

	mu       sync.Mutex
	fault    ReplicaFault
	born     int64
	state    engine.State
	lately   map[string]bool // adapters that were held before
	users    map[string]int  // running requests by adapter
	leaving  map[string]bool // adapters that go when their last request ends
	draining bool
	reports  []timedState
	places   chan struct{}
	seen     ReplicaRecord
}

type timedState struct {
	at    time.Time
	state engine.State
}

// Start makes the replica hold its model and describe itself.
func (r *Replica) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.places = make(chan struct{}, max(1, r.Self.Concurrency))
	r.reset()
	if r.Model != "" {
		r.state.Models = []string{r.Model}
	}
	r.announce()
}

// Restart loses all that the replica holds and runs, its model too.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.announce()
}

// reset begins a new incarnation. The lock is held.
func (r *Replica) reset() {
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.state = engine.State{Loaded: make(map[string]int64), Loading: make(map[string]int64)}
	r.users, r.leaving, r.reports = make(map[string]int), make(map[string]bool), nil
	if r.lately == nil {
		r.lately = make(map[string]bool)
	}
}

// SetFault replaces the failures in force.
func (r *Replica) SetFault(f ReplicaFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Drain makes the replica say that it is leaving; it goes on serving.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.announce()
}

// Record returns what the replica saw so far.
func (r *Replica) Record() ReplicaRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.seen
	seen.Executions, seen.Commands = maps.Clone(r.seen.Executions), slices.Clone(r.seen.Commands)
	return seen
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	(&platform.ReplicaServer{State: r.report, HandleCommand: r.order, ServeRequest: r.serve}).ServeHTTP(w, req)
}

func (r *Replica) self() backend.Server {
	s := r.Self
	s.StartMS, s.Draining = r.born, r.draining
	return s
}

// announce describes the replica in its row, and notes the state for reports.
// The lock is held.
func (r *Replica) announce() {
	st := r.state
	st.Models, st.Loaded, st.Loading = slices.Clone(st.Models), maps.Clone(st.Loaded), maps.Clone(st.Loading)
	r.reports = append(r.reports, timedState{time.Now(), st})
	r.WriteRow(platform.EncodeReplicaState(r.self(), st))
}

// report returns a state that is at least ReportLag old.
func (r *Replica) report() (backend.Server, engine.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.reports) > 1 && time.Since(r.reports[1].at) >= r.ReportLag {
		r.reports = r.reports[1:]
	}
	return r.self(), r.reports[0].state
}

// later runs f in this incarnation. The lock is held, then and now.
func (r *Replica) later(d time.Duration, f func()) {
	born := r.born
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born {
			f()
			r.announce()
		}
	})
}

// serve answers a request: it is refused as not run, or runs.
func (r *Replica) serve(w http.ResponseWriter, req *http.Request, q platform.ReplicaRequest) {
	name := q.AdapterName()
	limit := time.NewTimer(q.Timeout)
	defer limit.Stop()
	if !r.enter() {
		platform.WriteNotExecuted(w, q.ID, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-limit.C:
		platform.WriteNotExecuted(w, q.ID, http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	born, version, status := r.begin(q, name)
	if status != http.StatusOK {
		platform.WriteNotExecuted(w, q.ID, status)
		return
	}
	defer r.end(born, name)
	platform.SetSignatureHeaders(w.Header(), q.ID, r.Self.ID+"."+q.ID)
	if r.Model == "" {
		r.servePlain(w, q)
		return
	}
	r.stream(w, req, q, born, name+"@"+strconv.FormatInt(version, 10))
}

// enter reports whether there is room to wait.
func (r *Replica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.places) < cap(r.places)+r.QueueSize
}

// begin starts a run, or returns the status of a refusal.
func (r *Replica) begin(q platform.ReplicaRequest, name string) (born, version int64, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Instance != "" && q.Instance != r.Self.ID {
		return 0, 0, http.StatusMisdirectedRequest
	}
	if r.Model != "" {
		version = 1
		if q.Adapter != "" {
			version = r.state.Loaded[name]
		}
		switch {
		case !slices.Contains(r.state.Models, q.Model), version == 0, q.Version > 0 && q.Version != version:
			return 0, 0, http.StatusMisdirectedRequest
		case r.leaving[name] || r.state.Loading[name] != 0:
			return 0, 0, http.StatusServiceUnavailable
		}
	}
	if r.seen.Executions == nil {
		r.seen.Executions = make(map[string]int)
	}
	r.seen.Executions[q.ID]++
	r.users[name]++
	r.state.Running++
	return r.born, version, http.StatusOK
}

func (r *Replica) end(born int64, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born != born {
		return
	}
	r.state.Running--
	r.users[name]--
	if r.users[name] == 0 && r.leaving[name] {
		delete(r.leaving, name)
		delete(r.state.Loaded, name)
		r.announce()
	}
}

func (r *Replica) servePlain(w http.ResponseWriter, q platform.ReplicaRequest) {
	time.Sleep(r.EventTime)
	r.mu.Lock()
	lose := r.fault.LoseResponses > 0
	if lose {
		r.fault.LoseResponses--
	}
	r.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, PlainResponse(q.ID))
}

// stream sends the events of an answer, from the one after that which the
// request names.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, q platform.ReplicaRequest, born int64, answering string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(q.LastEventID) // absent means from the start
	time.Sleep(time.Duration(q.PromptTokens) * r.PrefillTime)
	r.mu.Lock()
	cut := r.fault.CutStreams > 0
	if cut {
		r.fault.CutStreams--
	}
	r.mu.Unlock()
	for i := first + 1; i <= q.MaxTokens; i++ {
		time.Sleep(r.EventTime)
		r.mu.Lock()
		ended := r.born != born || cut && i > first+3
		r.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, EventData(q.ID, answering, i))
		if http.NewResponseController(w).Flush() != nil || req.Context().Err() != nil {
			return // the caller has gone away
		}
	}
}

// PlainResponse is a plain server's answer to a request.
func PlainResponse(id string) string { return "done " + id }

// EventData is the data of an event that an adapter generated for a request.
func EventData(id, answering string, n int) string {
	return fmt.Sprintf("%s %d of %s", answering, n, id)
}
