package rig

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reportLag is how old the values of a report are.
	reportLag = 300 * time.Millisecond
	// lagStep is the time between two values that are kept for reports.
	lagStep = 50 * time.Millisecond
)

// Order is an order to an engine.
type Order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing_token"`
}

// Engine is a stand-in of a model replica. Its fields must be set before Start.
type Engine struct {
	Rig       *Rig
	ID        string
	Service   string
	Zone      string
	Model     string
	Slots     int // for adapters
	ModelTime time.Duration
	LoadTime  time.Duration // of an adapter
	EventTime time.Duration
	Events    int // of a stream
	// Late, which is optional, returns after which time to carry out an order that is left
	// unanswered, or 0 to carry it out at once.
	Late func(o Order, sequence int64) time.Duration
	// Unframed makes responses have no length, so that they end with their connection.
	Unframed bool
	// OnHead, which is optional, is called when the head of a stream was sent, before its first
	// event.
	OnHead func(id string)
	// Build is the version of its software; empty means v1. It may be changed between two starts.
	Build string
	// RowDelay is the time from a start to the first write of the row.
	RowDelay time.Duration
	// OnRun, which is optional, is called when a request begins to run.
	OnRun func(id string)

	addr string
	mu   sync.Mutex
	srv  *http.Server
	stop context.CancelFunc
	st   engineState
	past []engineReport
	// reported is when a report was last asked for.
	reported time.Time
	// Overfull counts the orders that loaded more than the slots hold.
	overfull int
}

type engineState struct {
	born      time.Time
	build     string
	sequence  int64
	hasModel  bool
	modelFrom time.Time            // when a load of the model ends; zero if there is none
	adapters  map[string]time.Time // to when they can be used
	used      map[string]int       // running requests by adapter
	unloading map[string]bool
}

type engineReport struct {
	at   time.Time
	body map[string]any
}

// Start starts the engine; withModel is set for the start of the whole deployment, at which it
// has its model.
func (e *Engine) Start(withModel bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addr == "" {
		e.addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.addr = ln.Addr().String()
	e.st = engineState{
		born: time.Now(), build: cmp.Or(e.Build, "v1"), hasModel: withModel, adapters: map[string]time.Time{}, used: map[string]int{}, unloading: map[string]bool{},
	}
	e.past = nil
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.srv = &http.Server{Handler: mux}
	srv := e.srv
	go func() { _ = srv.Serve(ln) }() // returns when the server is closed
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.keepReports(ctx)
	e.Rig.Record("engine %s: started at %s as %s, born %d", e.ID, e.addr, e.st.build, e.st.born.UnixMilli())
	return nil
}

// Crash ends the engine at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.stop()
	_ = e.srv.Close()
	e.Rig.Record("engine %s: crashed", e.ID)
}

// Overfull returns how often more was loaded than the slots hold.
func (e *Engine) Overfull() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfull
}

// State describes what the engine holds.
func (e *Engine) State() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("model %v, sequence %d, adapters %v", e.hasModel(time.Now()), e.st.sequence, slices.Sorted(maps.Keys(e.st.adapters)))
}

// SinceReport returns the time since a report was last asked for.
func (e *Engine) SinceReport() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.reported)
}

func (e *Engine) hasModel(now time.Time) bool {
	if !e.st.modelFrom.IsZero() && !now.Before(e.st.modelFrom) {
		e.st.hasModel, e.st.modelFrom = true, time.Time{}
	}
	return e.st.hasModel
}

func (e *Engine) keepReports(ctx context.Context) {
	t := time.NewTicker(lagStep)
	defer t.Stop()
	written := time.Now().Add(e.RowDelay - HeartbeatMS*time.Millisecond)
	for {
		e.mu.Lock()
		now := time.Now()
		if ctx.Err() != nil {
			e.mu.Unlock()
			return
		}
		body := e.describe(now)
		e.past = append(e.past, engineReport{now, body})
		for len(e.past) > 1 && now.Sub(e.past[1].at) >= reportLag {
			e.past = e.past[1:]
		}
		if now.Sub(written) >= HeartbeatMS*time.Millisecond {
			written = now
			_ = e.Rig.PutServer(e.ID, body) // encodes without an error
		}
		e.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

func (e *Engine) describe(now time.Time) map[string]any {
	models, coming := []any{}, []string{}
	if e.hasModel(now) {
		loaded := []string{}
		for _, name := range slices.Sorted(maps.Keys(e.st.adapters)) {
			if now.Before(e.st.adapters[name]) {
				coming = append(coming, e.Model+"/"+name+"@1")
			} else {
				loaded = append(loaded, name+"@1")
			}
		}
		models = append(models, map[string]any{"name": e.Model, "version": 1, "adapters": loaded})
	}
	running := 0
	for _, n := range e.st.used {
		running += n
	}
	return map[string]any{
		"service": e.Service, "address": e.addr, "zone": e.Zone, "version": e.st.build, "slots": 16, "state": "ready", "cold_remaining_ms": 0,
		"sequence": e.st.sequence, "born": e.st.born.UnixMilli(), "models": models, "coming": coming, "stage": "colocated",
		"busy": !e.st.modelFrom.IsZero(), "waiting": 0, "running": running, "kv_used": 0, "kv_total": 200000, "handles": 0,
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	body := e.past[0].body
	e.reported = time.Now()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 || o.Expected == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(HeaderInstance); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	text := fmt.Sprintf("%s %s/%s expected %d token %d from %s", o.Operation, o.Model, o.Adapter, *o.Expected, o.Token, o.Holder)
	var late time.Duration
	if e.Late != nil {
		late = e.Late(o, e.st.sequence)
	}
	if late > 0 {
		e.mu.Unlock()
		e.Rig.Record("engine %s: order %s is left unanswered, and carried out in %v", e.ID, text, late)
		time.AfterFunc(late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			before := e.st.sequence
			status := e.carryOut(o)
			e.Rig.Record("engine %s: late order %s at sequence %d: %d", e.ID, text, before, status)
		})
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o)
	e.Rig.Record("engine %s: order %s: %d, sequence %d, adapters %v", e.ID, text, status, e.st.sequence, slices.Sorted(maps.Keys(e.st.adapters)))
	e.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut returns the status of an order. e.mu must be held.
func (e *Engine) carryOut(o Order) int {
	now := time.Now()
	present := e.hasModel(now)
	_, loaded := e.st.adapters[o.Adapter]
	switch {
	case o.Adapter == "" && o.Operation == "load" && present:
		return http.StatusOK
	case o.Adapter != "" && o.Operation == "load" && loaded && !now.Before(e.st.adapters[o.Adapter]):
		return http.StatusOK
	case o.Adapter != "" && o.Operation == "load" && loaded:
		return http.StatusAccepted
	case o.Adapter != "" && o.Operation == "unload" && !loaded:
		return http.StatusOK
	case !e.st.modelFrom.IsZero(), *o.Expected != e.st.sequence, o.Adapter != "" && !present:
		return http.StatusConflict
	}
	e.st.sequence++
	switch {
	case o.Operation == "load" && o.Adapter == "":
		e.st.modelFrom = now.Add(e.ModelTime)
	case o.Operation == "load":
		if len(e.st.adapters) >= e.Slots {
			e.overfull++
			e.Rig.Record("engine %s: LIMIT: it holds %v in %d slots and is ordered to load %s", e.ID, slices.Sorted(maps.Keys(e.st.adapters)), e.Slots, o.Adapter)
			e.crash()
			return http.StatusAccepted
		}
		e.st.adapters[o.Adapter] = now.Add(e.LoadTime)
	case e.st.used[o.Adapter] > 0:
		e.st.unloading[o.Adapter] = true
	default:
		delete(e.st.adapters, o.Adapter)
		return http.StatusOK
	}
	return http.StatusAccepted
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	_, adapter, _ := strings.Cut(r.Header.Get("X-Vanilladrift-Model-Id"), "/")
	w.Header().Set(HeaderID, id)
	e.mu.Lock()
	born, build, now := e.st.born, e.st.build, time.Now()
	from, ok := e.st.adapters[adapter]
	ok = (ok && !now.Before(from) || adapter == "") && e.hasModel(now) && !e.st.unloading[adapter]
	if want := r.Header.Get(HeaderInstance); !ok || want != "" && want != e.ID {
		e.mu.Unlock()
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.Rig.Record("engine %s: request %s for %q is turned away with 421", e.ID, id, adapter)
		return
	}
	e.st.used[adapter]++
	e.mu.Unlock()
	defer e.endRequest(born, adapter)
	e.Rig.Record("engine %s: request %s for %q runs from event %q at %s", e.ID, id, adapter, r.Header.Get("Last-Event-Id"), build)
	if e.OnRun != nil {
		e.OnRun(id)
	}
	w.Header().Set(HeaderSeal, e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Vanilladrift-Weight-Versions", "1")
	if e.Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the body with the connection
	}
	flush := http.NewResponseController(w).Flush
	_ = flush() // the next write fails if this does
	if e.OnHead != nil {
		e.OnHead(id)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means from the first event
	for i := last + 1; i <= e.Events; i++ {
		time.Sleep(e.EventTime)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d for %s by %s\n\n", i, i, e.Events, id, build)
		if flush() != nil {
			return
		}
	}
	e.Rig.Record("engine %s: request %s ended after event %d", e.ID, id, e.Events)
}

func (e *Engine) endRequest(born time.Time, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.st.born != born {
		return
	}
	e.st.used[adapter]--
	if e.st.used[adapter] == 0 && e.st.unloading[adapter] {
		delete(e.st.unloading, adapter)
		delete(e.st.adapters, adapter)
	}
}
