package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/settings"
)

// Grant is the right to open one stream on an engine.
type Grant struct {
	Engine       string
	ID           string // request id at the engine
	FencingToken int64  // fencing token of the owner that gave it
	// QueueWait is the expected wait of the next short work there.
	QueueWait time.Duration
}

// Refusal is the answer of an engine's owner that it will not run a request.
type Refusal struct {
	Reason     engine.RefusalReason
	RetryAfter time.Duration
	QueueWait  time.Duration // expected queue wait at the engine
}

// Error implements the error interface.
func (r *Refusal) Error() string { return "refused: " + string(r.Reason) }

// Handler serves callers. Set the fields before the first use; Observe and
// Router may be left alone.
type Handler struct {
	// Tree returns the settings in force.
	Tree func() *settings.Tree
	// Ready returns nil while the node may admit requests.
	Ready func() *Error
	// Engines returns the backend servers of a base model that take new work.
	Engines func(base string) []string
	// EngineClient returns the client of a backend server, or nil.
	EngineClient func(name string) *engine.Client
	// Acquire asks the owner of an engine for a grant. It blocks while the
	// request waits in the owner's queue, and fails with a [Refusal].
	Acquire func(ctx context.Context, engineName string, w engine.Work) (Grant, error)
	// Release gives a grant back. It does not block.
	Release func(g Grant, missing bool, tokenTime time.Duration)
	// Ledger and Services run calls of plain services.
	Ledger   *service.Ledger
	Services *service.Client
	Registry *peer.Registry
	// NodeName is the name under which grants are asked for.
	NodeName string
	// NewRequestID returns a request id that no other request has.
	NewRequestID func() string
	// Observe, if set, is told how each request ended.
	Observe func(Event)
	// Router chooses engines; nil means one with the default policy.
	Router *engine.Router

	mu      sync.Mutex // guards Router and retries
	retries engine.ProportionalBudget
	once    sync.Once
	limits  Limiter
	active  Inflight
}

// Event describes how a request ended.
type Event struct {
	Class            string
	Outcome          Outcome
	Kind             ErrorKind // empty when it was served
	TimeToFirstToken time.Duration
	TimePerToken     time.Duration
	Duration         time.Duration
	Tokens           int
	Attempts         int
	Hedged           bool
}

const (
	closedRetry = time.Second
	retryShare  = 0.1
	retryBurst  = 50
)

func (f *Handler) init() {
	f.once.Do(func() {
		f.retries = engine.ProportionalBudget{Share: retryShare, Burst: retryBurst}
		f.retries.Credit(retryBurst / retryShare)
		if f.Router == nil {
			f.Router = engine.NewRouter(engine.RouterConfig{})
		}
	})
}

// Close refuses new requests. The channel that it returns is closed when no
// request is in flight.
func (f *Handler) Close() <-chan struct{} { return f.active.Close() }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.init()
	id := f.NewRequestID()
	w.Header().Set(engine.HeaderRequestID, id)
	if !f.active.TryAdd() {
		e := refusal("serve", NotReady, "the node is shutting down")
		e.RetryAfter = closedRetry
		writeError(w, e)
		return
	}
	defer f.active.Done()
	if err := f.route(w, r, id); err != nil {
		writeError(w, err)
	}
}

func (f *Handler) route(w http.ResponseWriter, r *http.Request, id string) error {
	const op = "route"
	tree := f.Tree()
	caller, branch, err := authenticate(tree, r)
	if err != nil {
		return err
	}
	if e := f.Ready(); e != nil {
		return e
	}
	leave, err := f.limits.Admit(time.Now(), branch)
	if err != nil {
		return err
	}
	defer leave()
	switch {
	case r.URL.Path == engine.PathCompletions || r.URL.Path == engine.PathChat:
		if r.Method != http.MethodPost {
			return refusal(op, BadRequest, "completions are asked for with POST")
		}
		return f.serveCompletion(w, r, id, tree, branch)
	case r.URL.Path == "/v1/models" && r.Method == http.MethodGet:
		return serveModels(w, tree, branch)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		return f.servePlain(w, r, id, tree, caller, branch)
	}
	return refusal(op, NoSuchPath, "no such path")
}

// HashKey returns the form in which a caller's key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func authenticate(tree *settings.Tree, r *http.Request) (settings.Document, *settings.Effective, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return settings.Document{}, nil, refusal("authenticate", BadKey, "send the caller's key as a bearer token")
	}
	caller, ok := tree.CallerByKeyHash(HashKey(key))
	if !ok {
		return settings.Document{}, nil, refusal("authenticate", BadKey, "the key is not known")
	}
	branch, ok := tree.Branch(caller.Fields["branch"])
	if !ok {
		return settings.Document{}, nil, refusal("authenticate", BadKey, "the caller's branch does not exist")
	}
	return caller, branch, nil
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the model that the branch leads to first, then the others.
func serveModels(w http.ResponseWriter, tree *settings.Tree, branch *settings.Effective) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	if m, err := tree.Resolve(branch, ""); err == nil {
		list.Data = append(list.Data, modelEntry{m.Name, "model", branch.Name})
	}
	for _, d := range tree.Docs(settings.Adapter) {
		list.Data = append(list.Data, modelEntry{d.Name, "model", "vanilladrift"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(Ran))
	_ = json.NewEncoder(w).Encode(list) // the caller has gone away
	return nil
}

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    ErrorKind `json:"type"`
	Message string    `json:"message"`
	Outcome Outcome   `json:"outcome"`
	RetryMs int64     `json:"retry-after-ms,omitempty"`
}

func detail(e *Error) errorAnswer {
	return errorAnswer{errorDetail{Type: e.Kind, Message: e.Reason, Outcome: e.Outcome, RetryMs: e.RetryAfter.Milliseconds()}}
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "serve", Kind: EngineFailed, Outcome: Unknown, Reason: err.Error()}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", e.retryAfterSeconds())
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(detail(e)) // the caller has gone away
}
