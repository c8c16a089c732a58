package rig3

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
)

// The headers of the platform that the cases look at.
const (
	HeaderID       = "X-Vanilladrift-Request-Id"
	HeaderSeal     = "X-Vanilladrift-Response-Seal"
	HeaderExpect   = "X-Vanilladrift-Expect-Instance"
	HeaderNotRun   = "X-Vanilladrift-Not-Executed"
	HeaderDeadline = "X-Vanilladrift-Deadline-Ms"
)

// Server is a stand-in of a plain replica.
type Server struct {
	ID      string
	Service string
	Address string
	// Work is how long a request runs.
	Work time.Duration
	// OnRun, which is optional, is called when a request begins to run.
	OnRun func(id string)
	// Version is that of the replica's software; v1 by default.
	Version string
	// Events, if set, makes the replica answer with a stream of so many events, at intervals of Work.
	Events int
	// LosesAnswer, which is optional, reports whether the answer to a request that ran is lost.
	LosesAnswer func() bool

	sys  *System
	http *http.Server
	born int64
	beat chan struct{} // closed when the replica writes no more entries

	mu      sync.Mutex
	state   string
	crashed bool
	ran     map[string]int
	arrived map[string]time.Time
	lost    map[string]int
}

// beatInterval is the time between two writes of a replica's entry: heartbeat_ms.
const beatInterval = 1200 * time.Millisecond

// NewServer starts a replica and writes its entry.
func (s *System) NewServer(id, service string, work time.Duration) (*Server, error) {
	r, err := s.NewForeignServer(id, service, work)
	if err != nil {
		return nil, err
	}
	r.Put("ready")
	go r.writeEntries()
	return r, nil
}

// NewVersion starts a replica of a software version that answers with streams, and writes its entry.
func (s *System) NewVersion(id, service, version string, gap time.Duration, events int) (*Server, error) {
	r, err := s.NewForeignServer(id, service, gap)
	if err != nil {
		return nil, err
	}
	r.Version, r.Events = version, events
	r.Put("ready")
	go r.writeEntries()
	return r, nil
}

// NewForeignServer starts a server that writes no entry.
func (s *System) NewForeignServer(id, service string, work time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Server{ID: id, Service: service, Address: ln.Addr().String(), Work: work, sys: s, born: time.Now().UnixMilli(), beat: make(chan struct{}), ran: make(map[string]int), arrived: make(map[string]time.Time), lost: make(map[string]int)}
	r.http = &http.Server{Handler: r}
	go func() { _ = r.http.Serve(ln) }() // ends with the process
	return r, nil
}

// writeEntries writes the replica's entry again and again, at about the same intervals.
func (r *Server) writeEntries() {
	for {
		select {
		case <-time.After(beatInterval*9/10 + rand.N(beatInterval/5)):
			r.mu.Lock()
			state := r.state
			r.mu.Unlock()
			r.writeEntry(r.Entry(state))
		case <-r.beat:
			return
		}
	}
}

// Entry returns the fields of the replica's entry.
func (r *Server) Entry(state string) map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.Address, "zone": "gdansk", "version": cmp.Or(r.Version, "v1"), "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": 0, "born": r.born,
	}
}

// Put changes the replica's state and writes its entry.
func (r *Server) Put(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.PutEntry(r.Entry(state))
}

// PutEntry writes an entry under the replica's id, as any writer can.
func (r *Server) PutEntry(entry map[string]any) {
	r.sys.Logf("entry of %s: %s", r.ID, r.writeEntry(entry))
}

func (r *Server) writeEntry(entry map[string]any) []byte {
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err) // it holds only texts and numbers
	}
	r.sys.Store.Put(platform.ServersTable+"/"+r.ID, b)
	return b
}

// Stop ends the replica at once, and removes its entry.
func (r *Server) Stop() {
	r.sys.Logf("%s exits", r.ID)
	close(r.beat)
	_ = r.http.Close() // its connections end
	r.sys.Store.Remove(platform.ServersTable + "/" + r.ID)
}

// Arrived returns when a request reached the replica last.
func (r *Server) Arrived(id string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.arrived[id]
	return at, ok
}

// Ran returns how often a request began to run.
func (r *Server) Ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// Lost returns how often the answer to a request was lost.
func (r *Server) Lost(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[id]
}

// ServeHTTP implements http.Handler.
func (r *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(HeaderID)
	h := w.Header()
	h.Set(HeaderID, id)
	if expected := req.Header.Get(HeaderExpect); expected != "" && expected != r.ID {
		h.Set("X-Vanilladrift-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.ran[id]++
	r.arrived[id] = time.Now()
	leaving := r.state == "draining"
	r.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	r.sys.Logf("%s runs %s %s %s", r.ID, req.Method, req.RequestURI, id)
	if r.OnRun != nil {
		r.OnRun(id)
	}
	if r.Events > 0 {
		r.stream(w, req, id)
		return
	}
	time.Sleep(r.Work)
	if r.LosesAnswer != nil && r.LosesAnswer() {
		r.mu.Lock()
		r.lost[id]++
		r.mu.Unlock()
		r.sys.Logf("%s loses the answer to %s", r.ID, id)
		panic(http.ErrAbortHandler) // the connection ends
	}
	h.Set(HeaderSeal, "seal-"+r.ID+"-"+id)
	fmt.Fprintf(w, "%s ran %s\n", r.ID, id)
}

// stream answers with events, from the one after Last-Event-Id on. Each states the version of the software.
func (r *Server) stream(w http.ResponseWriter, req *http.Request, id string) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 without one
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(HeaderSeal, "seal-"+r.ID+"-"+id)
	for n := last + 1; n <= r.Events; n++ {
		select {
		case <-time.After(r.Work):
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
		crashed := r.crashed
		r.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler) // the connection ends
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, cmp.Or(r.Version, "v1"), r.ID)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// Crash ends all connections of the replica, which sends nothing more and writes no more entries. Its last entry stays.
func (r *Server) Crash() {
	r.sys.Logf("%s crashes", r.ID)
	r.mu.Lock()
	r.crashed = true
	r.mu.Unlock()
	close(r.beat)
	_ = r.http.Close() // its connections end
}
