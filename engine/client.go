package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	commandTimeout     = 30 * time.Second
	maxReplyBytes      = 1 << 20
	completionIDPrefix = "cmpl-"
	typeAdapterMissing = "adapter-not-loaded"
	typeNoFreeSlot     = "no-free-slot"
	typeStaleToken     = "stale-token"
	typeRefused        = "refused"
)

// Client is an HTTP client for one engine. It is safe for concurrent use.
type Client struct {
	Name string // name of the backend server, used in errors
	URL  string
	HTTP *http.Client // nil means transport.DefaultClient
}

// CompletionRequest is a request for a completion or a chat completion.
type CompletionRequest struct {
	Path       string // PathCompletions or PathChat
	Body       []byte // body of the caller's request
	Model      string // "adapter@version"
	ID         string // request ID, which the engine echoes
	Priority   int    // lower values run first
	ResumeFrom int    // number of tokens received from an earlier attempt
}

// OpenStream sends the request and returns the response stream once the engine
// has accepted it. If it fails, [NotRun] reports whether the request certainly did
// not run.
func (c *Client) OpenStream(ctx context.Context, req CompletionRequest) (*Stream, error) {
	const op = "open"
	body := requestBody{}
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	body.set("model", req.Model)
	body.set("stream", true)
	body.set("priority", req.Priority)
	body["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	if req.ResumeFrom > 0 {
		body.set("resume_from", req.ResumeFrom)
	}
	httpReq, err := sling.New().Base(c.URL).Post(req.Path).
		Set(HeaderRequestID, req.ID).Set("Accept", "text/event-stream").BodyJSON(body).Request()
	if err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	resp, err := c.do(ctx, op, httpReq, req.ID)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.statusError(op, resp)
	}
	return newStream(c.Name, req, resp.Body), nil
}

// Load commands the engine to load an adapter. It returns the engine's boot ID.
func (c *Client) Load(ctx context.Context, name string, token int64) (boot string, err error) {
	return c.sendCommand(ctx, "load", PathLoad, AdapterCommand{Name: name, Path: name}, token)
}

// Unload commands the engine to unload an adapter. It returns the engine's boot ID.
func (c *Client) Unload(ctx context.Context, name string, token int64) (boot string, err error) {
	return c.sendCommand(ctx, "unload", PathUnload, AdapterCommand{Name: name}, token)
}

// Fence raises the engine's fencing token. Engines without fencing accept the
// command and ignore it.
func (c *Client) Fence(ctx context.Context, token int64) (boot string, err error) {
	return c.sendCommand(ctx, "fence", PathFence, struct{}{}, token)
}

// Cancel stops a running request. It also succeeds if the request is not
// running.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.sendCommand(ctx, "cancel", PathCancel, struct {
		ID string `json:"request_id"`
	}{id}, 0)
	return err
}

func (c *Client) sendCommand(ctx context.Context, op, path string, command any, token int64) (string, error) {
	req, err := sling.New().Base(c.URL).Post(path).
		Set(HeaderFencingToken, strconv.FormatInt(token, 10)).BodyJSON(command).Request()
	if err != nil {
		return "", &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	resp, err := c.doCall(ctx, op, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Header.Get(HeaderEngineBoot), c.statusError(op, resp)
	}
	return resp.Header.Get(HeaderEngineBoot), nil
}

// Report fetches the engine's load report.
func (c *Client) Report(ctx context.Context) (LoadReport, error) {
	const op = "report"
	req, err := sling.New().Base(c.URL).Get(PathReport).Request()
	if err != nil {
		return LoadReport{}, &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	resp, err := c.doCall(ctx, op, req)
	if err != nil {
		return LoadReport{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, c.statusError(op, resp)
	}
	var r LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&r); err != nil {
		return LoadReport{}, &Error{Op: op, Kind: Failed, Engine: c.Name, Err: err}
	}
	return r, nil
}

// do sends a request with an ID, and returns its response. A response without that ID, also a
// refusal, may be a late one to another request, and tells nothing of this one.
func (c *Client) do(ctx context.Context, op string, req *http.Request, id string) (*http.Response, error) {
	resp, err := c.client().Do(req.WithContext(ctx))
	if err != nil {
		return nil, c.transportError(op, err)
	}
	got := resp.Header.Get(HeaderRequestID)
	if got == id {
		return resp, nil
	}
	resp.Body.Close()
	kind := Failed
	if resp.StatusCode == http.StatusOK {
		kind = WrongResponse
	}
	return nil, &Error{Op: op, Kind: kind, Engine: c.Name, Status: resp.StatusCode, Err: errors.Errorf("response is for request %q", got)}
}

// doCall sends a command or another call with an ID of its own.
func (c *Client) doCall(ctx context.Context, op string, req *http.Request) (*http.Response, error) {
	id := "call-" + strconv.FormatUint(rand.Uint64(), 36)
	req.Header.Set(HeaderRequestID, id)
	resp, err := c.do(ctx, op, req, id)
	if IsKind(err, WrongResponse) {
		return nil, &Error{Op: op, Kind: Failed, Engine: c.Name, Err: err}
	}
	return resp, err
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return transport.DefaultClient
	}
	return c.HTTP
}

// transportError classifies a failure without a response. Only a failed dial
// proves that nothing was sent.
func (c *Client) transportError(op string, err error) error {
	if transport.IsDialError(err) {
		return &Error{Op: op, Kind: NotSent, Engine: c.Name, Err: err}
	}
	return &Error{Op: op, Kind: Failed, Engine: c.Name, Err: err}
}

func (c *Client) statusError(op string, resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	var body errorBody
	_ = json.Unmarshal(raw, &body) // the type stays empty if the body has another format
	kind := Failed
	switch {
	case body.Error.Type == typeAdapterMissing:
		kind = AdapterMissing
	case body.Error.Type == typeNoFreeSlot:
		kind = NoFreeSlot
	case body.Error.Type == typeStaleToken:
		kind = Fenced
	case resp.StatusCode == http.StatusBadRequest:
		kind = BadRequest
	case body.Error.Type == typeRefused:
		kind = Refused
	}
	msg := strings.TrimSpace(string(bytes.ToValidUTF8(raw, nil)))
	if body.Error.Message != "" {
		msg = body.Error.Message
	}
	return &Error{Op: op, Kind: kind, Engine: c.Name, Status: resp.StatusCode, Err: errors.New(msg)}
}
