package caller

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// attempt is one attempt to run a completion on an engine. It runs in its own
// goroutine. Its last event holds an error, which is io.EOF if the response is
// complete.
type attempt struct {
	id     string
	events chan event
	cancel context.CancelFunc

	grantedEngine atomic.Value              // string: the engine that granted the attempt
	sentAt        atomic.Pointer[time.Time] // when the request was sent to the engine
	began         bool                      // the caller has a token of it; used by the run only
}

// engineName returns the engine of the attempt, or "" before it has a grant.
func (a *attempt) engineName() string {
	name, _ := a.grantedEngine.Load().(string)
	return name
}

// event is a chunk or the final error of an attempt.
type event struct {
	chunk      engine.Chunk
	tokens     int // tokens of the response up to and including this chunk
	err        error
	mayHaveRun bool // with err: the engine may have received the request
}

// attemptOptions configures an attempt.
type attemptOptions struct {
	resumeTokens   int           // number of tokens that the caller already has
	excludedEngine string        // engine that must not run the attempt
	speculative    bool          // the attempt runs beside another one
	maxQueueWait   time.Duration // longest queue wait if speculative; zero means the router's default
}

func (h *Handler) startAttempt(ctx context.Context, c completion, id string, opts attemptOptions) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{id: id, events: make(chan event, 8), cancel: cancel}
	h.active.add()
	go func() {
		defer h.active.Done()
		defer close(a.events)
		h.runAttempt(ctx, c, a, opts)
	}()
	return a
}

// stop cancels the attempt and discards its remaining events.
func (a *attempt) stop() {
	a.cancel()
	go func() {
		for range a.events { //nolint:revive // drained so that the attempt can end
		}
	}()
}

func (a *attempt) send(ctx context.Context, ev event) bool {
	select {
	case a.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handler) runAttempt(ctx context.Context, c completion, a *attempt, opts attemptOptions) {
	g, err := h.acquireGrant(ctx, c, a.id, opts)
	if err != nil {
		a.send(ctx, event{err: err})
		return
	}
	a.grantedEngine.Store(g.Engine)
	defer h.Registry.End(g.Engine, g.ID)
	if err := h.Registry.Start(g.Engine, g.ID, g.FencingToken, c.model.Name, c.short); err != nil {
		h.Release(g, false, 0)
		a.send(ctx, event{err: err})
		return
	}
	adapterMissing, tokenTime := h.streamChunks(ctx, c, a, g, opts.resumeTokens)
	h.Release(g, adapterMissing, tokenTime)
}

// streamChunks opens the engine's stream and sends its chunks.
func (h *Handler) streamChunks(ctx context.Context, c completion, a *attempt, g Grant, resumeTokens int) (adapterMissing bool, tokenTime time.Duration) {
	client := h.EngineClient(g.Engine)
	if client == nil {
		a.send(ctx, event{err: &engine.Error{Op: "open", Kind: engine.NotSent, Engine: g.Engine}})
		return false, 0
	}
	sentAt := time.Now()
	a.sentAt.Store(&sentAt)
	s, err := client.OpenStream(ctx, engine.CompletionRequest{
		Path: c.path, Body: c.body, Model: c.model.Name, ID: g.ID, Priority: priority(c), ResumeFrom: resumeTokens,
	})
	if err != nil {
		a.send(ctx, event{err: err, mayHaveRun: !engine.NotRun(err)})
		return engine.IsKind(err, engine.AdapterMissing), 0
	}
	defer s.Close()
	pace := h.paceOf(sentAt, g.Engine)
	var first time.Time
	last := sentAt
	var blocked time.Duration // time for handing on the last chunks
	chunks := 0
	for {
		chunk, err := s.Next()
		now := time.Now()
		if err != nil {
			a.send(ctx, event{err: err, mayHaveRun: true, tokens: s.Tokens()})
			break
		}
		if chunk.HasContent() {
			if blocked <= now.Sub(last) { // else the chunk may have waited for the caller
				pace.Observe(chunks == 0, c.promptTokens, now.Sub(last))
			}
			if chunks > 0 {
				h.observeToken(now, g.Engine, now.Sub(last))
			} else {
				first = now
			}
			chunks++
			last, blocked = now, 0
		}
		if !a.send(ctx, event{chunk: chunk, tokens: s.Tokens()}) {
			break
		}
		blocked += time.Since(now)
	}
	if chunks > 1 {
		tokenTime = last.Sub(first) / time.Duration(chunks-1)
	}
	return false, tokenTime
}

func priority(c completion) int {
	if c.short {
		return 0
	}
	return 1
}

func (h *Handler) observeToken(now time.Time, name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Router.ObserveTokenTime(now, name, d)
}

// isEOF reports whether the response is complete.
func (e event) isEOF() bool { return e.err == io.EOF }
