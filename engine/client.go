package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	orderTimeout   = 30 * time.Second
	maxReplyBytes  = 1 << 20
	completionID   = "cmpl-"
	adapterMissing = "adapter-not-loaded"
	slotsFull      = "no-free-slot"
	staleToken     = "stale-token"
	refusedNotRun  = "refused"
)

// Client speaks to one engine. It is safe for concurrent use.
type Client struct {
	Name string // the backend server's name, used in errors
	URL  string
	HTTP *http.Client // nil means http.DefaultClient
}

// CompletionRequest is one request for a completion.
type CompletionRequest struct {
	Path       string // PathCompletions or PathChat
	Body       []byte // the caller's body
	Model      string // "adapter@version"
	ID         string // request id, echoed by the engine
	Priority   int    // lower runs first
	ResumeFrom int    // tokens that were received already
}

// OpenStream sends the request and returns the stream of its answer once the engine
// has accepted it. When it fails, [NotRun] tells whether the request can have
// run.
func (c *Client) OpenStream(ctx context.Context, call CompletionRequest) (*Stream, error) {
	const op = "open"
	b := body{}
	if err := json.Unmarshal(call.Body, &b); err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	b.set("model", call.Model)
	b.set("stream", true)
	b.set("priority", call.Priority)
	b["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	if call.ResumeFrom > 0 {
		b.set("resume_from", call.ResumeFrom)
	}
	req, err := sling.New().Base(c.URL).Post(call.Path).
		Set(HeaderRequestID, call.ID).Set("Accept", "text/event-stream").BodyJSON(b).Request()
	if err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	resp, err := c.client().Do(req.WithContext(ctx))
	if err != nil {
		return nil, c.transport(op, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.status(op, resp)
	}
	if id := resp.Header.Get(HeaderRequestID); id != call.ID {
		resp.Body.Close()
		return nil, &Error{Op: op, Kind: WrongResponse, Engine: c.Name, Err: errors.Errorf("answer to request %q", id)}
	}
	return newStream(c.Name, call, resp.Body), nil
}

// Stats orders the engine to load an adapter.
func (c *Client) Load(ctx context.Context, name string, token int64) (boot string, err error) {
	return c.order(ctx, "load", PathLoad, AdapterCommand{Name: name, Path: name}, token)
}

// Unload orders the engine to unload an adapter.
func (c *Client) Unload(ctx context.Context, name string, token int64) (boot string, err error) {
	return c.order(ctx, "unload", PathUnload, AdapterCommand{Name: name}, token)
}

// Fence raises the engine's fencing token. Engines that ignore tokens accept
// it without effect.
func (c *Client) Fence(ctx context.Context, token int64) (boot string, err error) {
	return c.order(ctx, "fence", PathFence, struct{}{}, token)
}

// Cancel ends a running request. It succeeds when the request is not running
// afterwards.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.order(ctx, "cancel", PathCancel, struct {
		ID string `json:"request_id"`
	}{id}, 0)
	return err
}

func (c *Client) order(ctx context.Context, op, path string, order any, token int64) (string, error) {
	req, err := sling.New().Base(c.URL).Post(path).
		Set(HeaderFencingToken, strconv.FormatInt(token, 10)).BodyJSON(order).Request()
	if err != nil {
		return "", &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := c.client().Do(req.WithContext(ctx))
	if err != nil {
		return "", c.transport(op, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Header.Get(HeaderEngineBoot), c.status(op, resp)
	}
	return resp.Header.Get(HeaderEngineBoot), nil
}

// LoadReport fetches the engine's load report.
func (c *Client) Report(ctx context.Context) (LoadReport, error) {
	const op = "report"
	req, err := sling.New().Base(c.URL).Get(PathReport).Request()
	if err != nil {
		return LoadReport{}, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	resp, err := c.client().Do(req.WithContext(ctx))
	if err != nil {
		return LoadReport{}, c.transport(op, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, c.status(op, resp)
	}
	var r LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&r); err != nil {
		return LoadReport{}, &Error{Op: op, Kind: Failed, Engine: c.Name, Err: err}
	}
	return r, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// transport classifies a failure without an answer. Only a failed dial proves
// that nothing was sent.
func (c *Client) transport(op string, err error) error {
	if transport.IsDialError(err) {
		return &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	return &Error{Op: op, Kind: Failed, Engine: c.Name, Err: err}
}

func (c *Client) status(op string, resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	var eb errorBody
	_ = json.Unmarshal(raw, &eb) // a body in another form leaves the type empty
	kind := Failed
	switch {
	case eb.Error.Type == adapterMissing:
		kind = AdapterMissing
	case eb.Error.Type == slotsFull:
		kind = NoFreeSlot
	case eb.Error.Type == staleToken:
		kind = Fenced
	case resp.StatusCode == http.StatusBadRequest:
		kind = BadRequest
	case eb.Error.Type == refusedNotRun:
		kind = Refused
	}
	msg := strings.TrimSpace(string(bytes.ToValidUTF8(raw, nil)))
	if eb.Error.Message != "" {
		msg = eb.Error.Message
	}
	return &Error{Op: op, Kind: kind, Engine: c.Name, Status: resp.StatusCode, Err: errors.New(msg)}
}
