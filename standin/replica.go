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

// ReplicaFault selects the failures of a [Replica]. A counter is decremented each
// time that its failure is applied.
type ReplicaFault struct {
	LoseCommands int           // commands that get no reply and are applied after CommandDelay
	CommandDelay time.Duration // of the commands that get no reply
	// HoldCommand, if set, returns how long a command that was received waits until it is
	// looked at. Its sender may have given it up by then.
	HoldCommand   func() time.Duration
	CutStreams    int // streams that are interrupted after their third event
	LoseResponses int // plain requests that run but get no response
	// IsFull, if set, is called for each request. If it returns true, the replica refuses the
	// request as one that is full does.
	IsFull func() bool
	// CrashPart is a part of prompts, and CrashBody a body of requests, that crash the replica
	// when it begins to respond, or in a stream after CrashEvents events. The replica starts
	// again after CrashDowntime.
	CrashPart     string
	CrashBody     string
	CrashEvents   int
	CrashDowntime time.Duration
	CrashRowLag   time.Duration // from the start until the row shows the new incarnation
	Refusals      int           // requests of any kind that are turned away, and ask for RefusalPause
	RefusalPause  time.Duration // time for which the replica wants no requests after that
	// Unframed makes responses have neither a length nor chunks, so that they end with
	// their connection. Streams of CutStreams then end inside an event.
	Unframed bool
	// Limit, if set, is the number of requests a second that the replica states it takes from
	// all nodes together. It is stated as it is written here.
	Limit string
	// Brittle, if above 0, is the number of requests that the replica may turn away in a second. It
	// states that. With more it falls over, and starts again after BrittleDowntime. Only BrittleQueue
	// requests may wait then, if it is set.
	Brittle         int
	BrittleQueue    *int
	BrittleDowntime time.Duration
	KeepRow         bool // changes of the state are not written to the row
	Drip            Drip // streams that stall
	// SlowStreams are streams that take SlowFactor times as long for their first and
	// between all events.
	SlowStreams int
	SlowFactor  int
}

// Replica is a stand-in for a server of the platform: a model engine that accepts
// sequenced commands, or a plain server if Model is empty. It publishes its state
// through WriteRow, which must be set; the other fields have usable zero values.
type Replica struct {
	Self            backend.Server // StartMS, Models and Sequence are not set
	Model           string         // base model loaded at the start
	AdapterSlots    int
	AdapterLoadTime time.Duration // first load of an adapter; a tenth of it for later loads
	ModelLoadTime   time.Duration // change of the base model
	PrefillTime     time.Duration // per prompt token
	EventTime       time.Duration // per event, or of a plain request
	ReportLag       time.Duration // age of the state in reports
	QueueSize       int           // requests that may wait for a request slot
	// LatestVersion returns the latest published version of an adapter. If it is nil,
	// the latest version is 1.
	LatestVersion func(name string) int64
	// WriteRow writes the replica's row to the store.
	WriteRow func(row []byte)

	mu             sync.Mutex
	fault          ReplicaFault
	startMS        int64
	state          engine.State
	loadedBefore   map[string]bool // adapters that have been loaded at least once
	activeRequests map[string]int  // number of running requests by adapter
	unloading      map[string]bool // adapters to unload when their last request ends
	draining       bool
	isDown         bool
	rowFrom        time.Time // when the row shows the state
	reports        []timedState
	requestSlots   chan struct{}
	record         ReplicaRecord
	pauseStart     time.Time // when requests begin to violate the pause that was asked for
	pauseEnd       time.Time
	waiting        int         // requests that wait for a request slot
	refusals       []time.Time // within the last second, for want of room
	silentUntil    time.Time
}

type timedState struct {
	at    time.Time
	state engine.State
}

// Start loads the replica's model and publishes its state.
func (r *Replica) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestSlots = make(chan struct{}, max(1, r.Self.MaxRequests))
	r.reset()
	if r.Model != "" {
		r.state.Models = []string{r.Model}
	}
	r.publishState()
}

// Restart begins a new incarnation without models, adapters or running requests.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.publishState()
}

// RestartAs is like Restart with software of the given version. The row shows it after rowLag.
func (r *Replica) RestartAs(build string, rowLag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Self.Build = build
	r.reset()
	r.rowFrom = time.Now().Add(rowLag)
	r.publishState()
	r.afterDelay(rowLag, func() {})
}

// reset begins a new incarnation. r.mu must be held.
func (r *Replica) reset() {
	r.startMS, r.draining = max(time.Now().UnixMilli(), r.startMS+1), false
	r.state = engine.State{Loaded: make(map[string]int64), Loading: make(map[string]int64)}
	r.pauseStart, r.pauseEnd = time.Time{}, time.Time{}
	r.activeRequests, r.unloading, r.reports = make(map[string]int), make(map[string]bool), nil
	if r.loadedBefore == nil {
		r.loadedBefore = make(map[string]bool)
	}
}

// SetFault replaces the injected failures.
func (r *Replica) SetFault(f ReplicaFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Drain makes the replica publish that it is draining, and say so in its responses; it
// continues to serve.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.publishState()
}

func (r *Replica) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Record returns a copy of the replica's record.
func (r *Replica) Record() ReplicaRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record
	rec.Executions, rec.Commands = maps.Clone(r.record.Executions), slices.Clone(r.record.Commands)
	rec.Accounts = maps.Clone(r.record.Accounts)
	rec.LimitedArrivals = slices.Clone(r.record.LimitedArrivals)
	return rec
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if err := r.holdCommand(req); err != nil {
		return // the connection ended within the command
	}
	r.serveDown()
	r.awaitSilence()
	r.recordKey(req)
	w = &replicaResponse{ResponseWriter: w, replica: r}
	if pause := r.observeArrival(time.Now()); pause > 0 {
		r.turnAwayCommand(req)
		platform.WriteRefusal(w, req, pause)
		return
	}
	(&platform.ReplicaServer{State: r.reportedState, HandleCommand: r.handleCommand, ServeRequest: r.serveRequest}).ServeHTTP(w, req)
}

// recordKey counts a request that came with the key of a client account.
func (r *Replica) recordKey(req *http.Request) {
	if !platform.HasKey(req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WithKey++
}

// currentServer describes the current incarnation. r.mu must be held.
func (r *Replica) currentServer() backend.Server {
	s := r.Self
	s.StartMS, s.Draining = r.startMS, r.draining
	return s
}

// publishState writes the replica's row and keeps the state for later reports.
// r.mu must be held.
func (r *Replica) publishState() {
	st := r.state
	st.Models, st.Loaded, st.Loading = slices.Clone(st.Models), maps.Clone(st.Loaded), maps.Clone(st.Loading)
	r.reports = append(r.reports, timedState{time.Now(), st})
	if r.fault.KeepRow || time.Now().Before(r.rowFrom) {
		return
	}
	r.WriteRow(platform.EncodeReplicaState(r.currentServer(), st))
}

// reportedState returns the latest state that is at least ReportLag old, or the
// oldest one that is kept if all are newer.
func (r *Replica) reportedState() (backend.Server, engine.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.reports) > 1 && time.Since(r.reports[1].at) >= r.ReportLag {
		r.reports = r.reports[1:]
	}
	return r.currentServer(), r.reports[0].state
}

// afterDelay calls f after d with r.mu held, and publishes the state, unless the
// replica has restarted. r.mu must be held.
func (r *Replica) afterDelay(d time.Duration, f func()) {
	startMS := r.startMS
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.startMS == startMS {
			f()
			r.publishState()
		}
	})
}

// serveRequest runs a request, or refuses it as not executed.
func (r *Replica) serveRequest(w http.ResponseWriter, req *http.Request, head platform.ReplicaRequest) {
	r.recordArrival(time.Now())
	crashes := r.crashesOn(head.PromptParts, req.Body)
	name := head.AdapterName()
	timeout := time.NewTimer(head.Timeout)
	defer timeout.Stop()
	if !r.hasRoom() || r.isFull() || !r.tryWait() {
		r.recordRefusal(time.Now())
		platform.WriteNotExecuted(w, head.ID, http.StatusServiceUnavailable)
		return
	}
	endWait := sync.OnceFunc(r.endWait)
	defer endWait()
	select {
	case r.requestSlots <- struct{}{}:
		endWait()
		defer func() { <-r.requestSlots }()
	case <-timeout.C:
		platform.WriteNotExecuted(w, head.ID, http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	startMS, version, status := r.startRequest(head, name)
	if status != http.StatusOK {
		platform.WriteNotExecuted(w, head.ID, status)
		return
	}
	defer r.endRequest(startMS, name)
	platform.SetSignatureHeaders(w.Header(), head.ID, r.Self.ID+"."+head.ID)
	if r.isUnframed() {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then closes the connection
	}
	if r.Model == "" {
		r.servePlain(w, head, startMS, crashes)
		return
	}
	r.serveStream(w, req, head, startMS, name+"@"+strconv.FormatInt(version, 10), crashes)
}

// hasRoom reports whether another request may wait for a request slot. It counts only the
// requests that have one, not those that wait already.
func (r *Replica) hasRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requestSlots) < cap(r.requestSlots)+r.QueueSize
}

func (r *Replica) isFull() bool {
	r.mu.Lock()
	isFull := r.fault.IsFull
	r.mu.Unlock()
	return isFull != nil && isFull()
}

// startRequest records the start of a request, or returns the status of a refusal.
func (r *Replica) startRequest(head platform.ReplicaRequest, name string) (startMS, version int64, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.ServerID != "" && head.ServerID != r.Self.ID {
		return 0, 0, http.StatusMisdirectedRequest
	}
	if r.Model != "" {
		version = 1
		if head.Adapter != "" {
			version = r.state.Loaded[name]
		}
		switch {
		case !slices.Contains(r.state.Models, head.Model), version == 0, head.Version > 0 && head.Version != version:
			return 0, 0, http.StatusMisdirectedRequest
		case r.unloading[name] || r.state.Loading[name] != 0:
			return 0, 0, http.StatusServiceUnavailable
		}
	}
	if r.record.Executions == nil {
		r.record.Executions = make(map[string]int)
	}
	r.record.Executions[head.ID]++
	if head.Account != "" {
		if r.record.Accounts == nil {
			r.record.Accounts = make(map[string]string)
		}
		r.record.Accounts[head.ID] = head.Account
	}
	r.activeRequests[name]++
	r.state.Running++
	return r.startMS, version, http.StatusOK
}

// endRequest records the end of a request, and unloads its adapter if the unload was
// waiting for this request.
func (r *Replica) endRequest(startMS int64, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startMS != startMS {
		return
	}
	r.state.Running--
	r.activeRequests[name]--
	if r.activeRequests[name] == 0 && r.unloading[name] {
		delete(r.unloading, name)
		delete(r.state.Loaded, name)
		r.publishState()
	}
}

func (r *Replica) servePlain(w http.ResponseWriter, head platform.ReplicaRequest, startMS int64, crashes bool) {
	time.Sleep(r.EventTime)
	if crashes {
		r.crash(startMS)
	}
	r.mu.Lock()
	loseResponse := r.fault.LoseResponses > 0
	if loseResponse {
		r.fault.LoseResponses--
	}
	ended := r.startMS != startMS
	r.mu.Unlock()
	if loseResponse || ended {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, PlainResponse(head.ID))
}

// serveStream sends the events of a response, starting after the event that the
// request names.
func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, head platform.ReplicaRequest, startMS int64, adapterVersion string, crashes bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastSent, _ := strconv.Atoi(head.LastEventID) // an absent ID means from the first event
	time.Sleep(time.Duration(head.PromptTokens) * r.PrefillTime)
	r.mu.Lock()
	crashEvents := r.fault.CrashEvents
	cut := r.fault.CutStreams > 0
	if cut {
		r.fault.CutStreams--
	}
	drip, drips := r.fault.Drip.take()
	eventTime := r.EventTime
	if r.fault.SlowStreams > 0 {
		r.fault.SlowStreams--
		eventTime *= time.Duration(r.fault.SlowFactor)
	}
	r.mu.Unlock()
	for i := lastSent + 1; i <= head.MaxTokens; i++ {
		if drips && i == lastSent+drip.After+1 && !drip.write(w, req) {
			return
		}
		if crashes && i > lastSent+crashEvents {
			r.crash(startMS)
		}
		time.Sleep(eventTime)
		r.mu.Lock()
		build, ended := r.Self.Build, r.startMS != startMS || cut && i > lastSent+3
		r.mu.Unlock()
		if ended {
			if r.isUnframed() {
				fmt.Fprintf(w, "id: %d\ndata: ", i)
				return
			}
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, EventData(head.ID, adapterVersion, build, i))
		if http.NewResponseController(w).Flush() != nil || req.Context().Err() != nil {
			return // the client closed the connection
		}
	}
}

func (r *Replica) isUnframed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Unframed
}

// PlainResponse returns the body of a plain server's response to a request.
func PlainResponse(id string) string { return "done " + id }

// EventData returns the data of the nth event that an adapter version generates for a request on
// a server with the given software version, if it has one.
func EventData(id, adapterVersion, build string, n int) string {
	data := fmt.Sprintf("%s %d of %s", adapterVersion, n, id)
	if build != "" {
		data += " by " + build
	}
	return data
}
