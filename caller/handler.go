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

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/settings"
)

// Grant is the right to open one stream on an engine.
type Grant struct {
	Engine       string
	ID           string // ID of the request at the engine
	FencingToken int64  // fencing token of the owner that issued the grant
	Boot         string // boot ID of the engine's start that the grant is for; empty if it is not known
	Build        string // software version of that start; empty if it is not known
	// Owner is the name of the node that issued the grant, and Stream the key of the attempt that it was told.
	Owner, Stream string
	// QueueWait is the expected queue wait of the next short request on the
	// engine.
	QueueWait time.Duration
}

// Refusal is an owner's refusal to run a request on its engine.
type Refusal struct {
	Reason     engine.RefusalReason
	RetryAfter time.Duration
	QueueWait  time.Duration // expected queue wait at the engine
	// AdapterRequests is the number of requests for the adapter that run or wait at the engine.
	AdapterRequests int
	// ByCost is set if more urgent requests may be granted. Account, if it is set, is the only one
	// whose requests are refused.
	ByCost  bool
	Account string
}

// Error implements the error interface.
func (r *Refusal) Error() string { return "refused: " + string(r.Reason) }

// Handler serves callers. Set the fields before the first use; Observe and
// Router are optional.
type Handler struct {
	// Tree returns the settings in force.
	Tree func() *settings.Tree
	// Ready returns nil while the node admits requests, and otherwise the
	// error to send.
	Ready func() *Error
	// Engines returns the engines of a base model that accept new work.
	Engines func(base string) []string
	// EngineClient returns the client of an engine, or nil.
	EngineClient func(name string) *engine.Client
	// RequestGrant requests a grant from the owner of an engine. It blocks
	// while the request is in the owner's queue, and fails with a [Refusal].
	RequestGrant func(ctx context.Context, engineName string, w engine.Work) (Grant, error)
	// Release returns a grant to the engine's owner. It does not block.
	// tokenTime is the mean time per token, or 0 if it was not measured.
	Release func(g Grant, adapterMissing bool, tokenTime time.Duration)
	// Ledger and Services execute calls of plain services.
	Ledger   *service.Ledger
	Services *service.Client
	Registry *peer.Registry
	// NodeName identifies this node in requests for grants.
	NodeName string
	// NewRequestID returns a unique request ID.
	NewRequestID func() string
	// Observe is called for each finished completion.
	Observe func(Event)
	// Router ranks engines; nil means one with the default configuration.
	Router *engine.Router

	mu          sync.Mutex // guards Router and retryBudget
	retryBudget engine.ProportionalBudget
	paces       backend.Paces
	once        sync.Once
	limits      Limiter
	active      Inflight
}

// Event describes a finished completion.
type Event struct {
	Class            string
	Outcome          Outcome
	Kind             ErrorKind // empty if the completion succeeded
	TimeToFirstToken time.Duration
	TimePerToken     time.Duration
	Duration         time.Duration
	Tokens           int
	Attempts         int
	Hedged           bool
}

const (
	shutdownRetryAfter = time.Second
	retryRatio         = 0.1
	retryBurst         = 50
)

func (h *Handler) init() {
	h.once.Do(func() {
		h.retryBudget = engine.ProportionalBudget{Share: retryRatio, Burst: retryBurst}
		h.retryBudget.Credit(retryBurst / retryRatio)
		if h.Router == nil {
			h.Router = engine.NewRouter(engine.RouterConfig{})
		}
	})
}

// Close rejects new requests. The returned channel is closed when no request
// is in flight.
func (h *Handler) Close() <-chan struct{} { return h.active.Close() }

// End rejects new requests and ends those in flight, except for calls of plain services.
// Each gets a response that tells whether it may have run, unless its response has begun.
func (h *Handler) End() { h.active.End() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.init()
	id := h.NewRequestID()
	w.Header().Set(engine.HeaderRequestID, id)
	if !h.active.TryAdd() {
		writeError(w, shutdownError("serve"))
		return
	}
	defer h.active.Done()
	if err := h.dispatch(w, r, id); err != nil {
		writeError(w, err)
	}
}

func shutdownError(op string) *Error {
	e := notRunError(op, NotReady, "the node is shutting down")
	e.RetryAfter = shutdownRetryAfter
	return e
}

func (h *Handler) dispatch(w http.ResponseWriter, r *http.Request, id string) error {
	const op = "route"
	tree := h.Tree()
	caller, branch, err := authenticate(tree, r)
	if err != nil {
		return err
	}
	if e := h.Ready(); e != nil {
		return e
	}
	release, err := h.limits.Admit(time.Now(), branch)
	if err != nil {
		return err
	}
	defer release()
	switch {
	case r.URL.Path == engine.PathCompletions || r.URL.Path == engine.PathChat:
		if r.Method != http.MethodPost {
			return notRunError(op, BadRequest, "completions are asked for with POST")
		}
		return h.serveCompletion(w, r, id, tree, branch)
	case r.URL.Path == "/v1/models" && r.Method == http.MethodGet:
		return serveModels(w, tree, branch)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		return h.serveService(w, r, id, tree, caller, branch)
	}
	return notRunError(op, NoSuchPath, "no such path")
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func authenticate(tree *settings.Tree, r *http.Request) (settings.Document, *settings.Effective, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return settings.Document{}, nil, notRunError("authenticate", BadKey, "send the caller's key as a bearer token")
	}
	caller, ok := tree.CallerByKeyHash(HashKey(key))
	if !ok {
		return settings.Document{}, nil, notRunError("authenticate", BadKey, "the key is not known")
	}
	branch, ok := tree.Branch(caller.Fields["branch"])
	if !ok {
		return settings.Document{}, nil, notRunError("authenticate", BadKey, "the caller's branch does not exist")
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

// serveModels lists the branch's model first, then all adapters.
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
	_ = json.NewEncoder(w).Encode(list) // an error means that the caller has disconnected
	return nil
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    ErrorKind `json:"type"`
	Message string    `json:"message"`
	Outcome Outcome   `json:"outcome"`
	RetryMs int64     `json:"retry-after-ms,omitempty"`
}

func newErrorBody(e *Error) errorBody {
	return errorBody{errorDetail{Type: e.Kind, Message: e.Reason, Outcome: e.Outcome, RetryMs: e.RetryAfter.Milliseconds()}}
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
	_ = json.NewEncoder(w).Encode(newErrorBody(e)) // an error means that the caller has disconnected
}
