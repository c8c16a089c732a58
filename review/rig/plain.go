package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The headers of requests and responses.
const (
	HeaderID       = "X-Vanilladrift-Request-Id"
	HeaderDeadline = "X-Vanilladrift-Deadline-Ms"
	HeaderInstance = "X-Vanilladrift-Expect-Instance"
	HeaderNotRun   = "X-Vanilladrift-Not-Executed"
	HeaderSeal     = "X-Vanilladrift-Response-Seal"
)

// Plain is a stand-in of a replica without a model. Its fields must be set before Start.
type Plain struct {
	Rig     *Rig
	ID      string
	Service string
	Zone    string
	Work    time.Duration // for which a request runs
	// RowDelay is the time from a start to the first write of the row.
	RowDelay time.Duration
	// Refuse, which is optional, returns whether to turn a request away, and the Retry-After to
	// state with that, if any. The argument is the time since the start.
	Refuse func(up time.Duration, id string) (refuse bool, retryAfter time.Duration)

	// OnRun, which is optional, is called when a request begins to run.
	OnRun func(id string)

	addr string
	mu   sync.Mutex
	srv  *http.Server
	born time.Time
	stop context.CancelFunc
}

// Start starts the replica, under the same ID and address as before if it ran before.
func (p *Plain) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr == "" {
		p.addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.addr, p.born = ln.Addr().String(), time.Now()
	p.srv = &http.Server{Handler: p.handler(p.born)}
	srv := p.srv
	go func() { _ = srv.Serve(ln) }() // returns when the server is closed
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.writeRows(ctx, p.born)
	p.Rig.Record("replica %s: started at %s, born %d", p.ID, p.addr, p.born.UnixMilli())
	return nil
}

// Crash ends the replica at once.
func (p *Plain) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	_ = p.srv.Close()
	p.Rig.Record("replica %s: crashed", p.ID)
}

func (p *Plain) writeRows(ctx context.Context, born time.Time) {
	next := p.RowDelay
	for i := int64(0); ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
		next = HeartbeatMS * time.Millisecond
		err := p.Rig.PutServer(p.ID, map[string]any{
			"service": p.Service, "address": p.addr, "zone": p.Zone, "version": "v1", "slots": 16, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 0, "born": born.UnixMilli(), "models": []any{},
		})
		if i == 0 {
			p.Rig.Record("replica %s: first row of this start: %v", p.ID, err)
		}
	}
}

func (p *Plain) handler(born time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderID)
		w.Header().Set(HeaderID, id)
		refuse := func(status int, retryAfter time.Duration) {
			w.Header().Set(HeaderNotRun, "1")
			if retryAfter > 0 {
				w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
			}
			w.WriteHeader(status)
			p.Rig.Record("replica %s: request %s arrived and is turned away with %d, Retry-After %v", p.ID, id, status, retryAfter)
		}
		if want := r.Header.Get(HeaderInstance); want != "" && want != p.ID {
			refuse(http.StatusMisdirectedRequest, 0)
			return
		}
		if p.Refuse != nil {
			if no, retryAfter := p.Refuse(time.Since(born), id); no {
				refuse(http.StatusServiceUnavailable, retryAfter)
				return
			}
		}
		p.Rig.Record("replica %s: request %s arrived and runs", p.ID, id)
		if p.OnRun != nil {
			p.OnRun(id)
		}
		time.Sleep(p.Work)
		w.Header().Set(HeaderSeal, p.ID+"."+id)
		fmt.Fprint(w, strings.Repeat("done "+id+"\n", 20))
	})
}
