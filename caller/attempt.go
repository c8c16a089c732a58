package caller

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// attempt is one try of a completion on one engine. It runs in a goroutine of
// its own and delivers events until an error, io.EOF included.
type attempt struct {
	id     string
	events chan event
	cancel context.CancelFunc

	engine atomic.Value // string: the engine that granted the attempt
}

// engineName returns the engine of the attempt, or "" while it waits for a
// grant.
func (a *attempt) engineName() string {
	name, _ := a.engine.Load().(string)
	return name
}

// event is one step of an attempt.
type event struct {
	chunk  engine.Chunk
	tokens int // tokens of the answer up to and including this chunk
	err    error
	sent   bool // with err: the request may have reached the engine
}

// plan says how an attempt goes about its work.
type plan struct {
	resume  int           // tokens that the caller has already
	exclude string        // an engine not to ask
	spare   bool          // a second attempt beside another
	maxWait time.Duration // spare: the longest queue wait that is worth it; zero means the usual
}

func (f *Handler) launch(ctx context.Context, c completion, id string, p plan) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{id: id, events: make(chan event, 8), cancel: cancel}
	f.active.join()
	go func() {
		defer f.active.Done()
		defer close(a.events)
		f.try(ctx, c, a, p)
	}()
	return a
}

// stop cancels the attempt and drops what it still delivers.
func (a *attempt) stop() {
	a.cancel()
	go func() {
		for range a.events { //nolint:revive // drained so that the attempt can end
		}
	}()
}

func (a *attempt) deliver(ctx context.Context, ev event) bool {
	select {
	case a.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Handler) try(ctx context.Context, c completion, a *attempt, p plan) {
	g, err := f.acquire(ctx, c, a.id, p)
	if err != nil {
		a.deliver(ctx, event{err: err})
		return
	}
	a.engine.Store(g.Engine)
	defer f.Registry.End(g.Engine, g.ID)
	if err := f.Registry.Start(g.Engine, g.ID, g.FencingToken, c.model.Name, c.short); err != nil {
		f.Release(g, false, 0)
		a.deliver(ctx, event{err: err})
		return
	}
	missing, perToken := f.stream(ctx, c, a, g, p.resume)
	f.Release(g, missing, perToken)
}

// stream opens the engine's stream and delivers its chunks.
func (f *Handler) stream(ctx context.Context, c completion, a *attempt, g Grant, resume int) (missing bool, perToken time.Duration) {
	client := f.EngineClient(g.Engine)
	if client == nil {
		a.deliver(ctx, event{err: &engine.Error{Op: "open", Kind: engine.NotSent, Engine: g.Engine}})
		return false, 0
	}
	s, err := client.OpenStream(ctx, engine.CompletionRequest{
		Path: c.path, Body: c.body, Model: c.model.Name, ID: g.ID, Priority: priority(c), ResumeFrom: resume,
	})
	if err != nil {
		a.deliver(ctx, event{err: err, sent: !engine.NotRun(err)})
		return engine.IsKind(err, engine.AdapterMissing), 0
	}
	defer s.Close()
	var first, last time.Time
	got := 0
	for {
		chunk, err := s.Next()
		now := time.Now()
		if err != nil {
			a.deliver(ctx, event{err: err, sent: true, tokens: s.Tokens()})
			break
		}
		if got > 0 {
			f.observeToken(now, g.Engine, now.Sub(last))
		} else {
			first = now
		}
		got++
		last = now
		if !a.deliver(ctx, event{chunk: chunk, tokens: s.Tokens()}) {
			break
		}
	}
	if got > 1 {
		perToken = last.Sub(first) / time.Duration(got-1)
	}
	return false, perToken
}

func priority(c completion) int {
	if c.short {
		return 0
	}
	return 1
}

func (f *Handler) observeToken(now time.Time, name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Router.ObserveTokenTime(now, name, d)
}

// isEnd reports whether the answer is whole.
func (e event) isEnd() bool { return e.err == io.EOF }
