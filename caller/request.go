package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
)

// Headers of requests and responses.
const (
	HeaderOutcome        = "Vanilladrift-Outcome"
	HeaderAdapter        = "Vanilladrift-Adapter"
	HeaderDeadline       = "Vanilladrift-Deadline-Ms"
	HeaderClass          = "Vanilladrift-Class"
	HeaderReplayed       = "Vanilladrift-Repeated"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const bytesPerToken = 4

// completion is a validated completion request.
type completion struct {
	id           string
	path         string
	body         []byte
	model        settings.AdapterVersion
	short        bool
	stream       bool
	hedge        bool
	maxTokens    int
	promptTokens int           // estimated from the length of the prompt
	deadline     time.Time     // for the first token
	tokenTimeout time.Duration // how long the caller waits for the first token
}

// completionRequest lists the request fields that the node reads.
type completionRequest struct {
	Model     *string         `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         *int            `json:"n"`
}

// readBody reads the complete body. A truncated body is rejected, never
// forwarded. It stops reading when requests in flight must end.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	const op = "read"
	if r.ContentLength > int64(limit) {
		return nil, notRunError(op, BodyTooLarge, "the limit is "+strconv.Itoa(limit)+" bytes")
	}
	keepReading := h.active.EndReads(w)
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if !keepReading() {
		return nil, shutdownError(op)
	}
	if err != nil {
		e := notRunError(op, BadRequest, "the body was cut short")
		e.Err = err
		return nil, e
	}
	if len(body) > limit {
		return nil, notRunError(op, BodyTooLarge, "the limit is "+strconv.Itoa(limit)+" bytes")
	}
	return body, nil
}

// parseCompletion validates a body against the settings of its branch.
func parseCompletion(body []byte, path string, tree *settings.Tree, e *settings.Effective) (completion, error) {
	const op = "parse"
	if !utf8.Valid(body) {
		return completion{}, notRunError(op, BadRequest, "the body is not valid UTF-8")
	}
	if key, err := duplicateKey(body); err != nil {
		return completion{}, notRunError(op, BadRequest, "the body is not a JSON object: "+err.Error())
	} else if key != "" {
		return completion{}, notRunError(op, BadRequest, "the field "+strconv.Quote(key)+" stands twice")
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return completion{}, notRunError(op, BadRequest, err.Error())
	}
	c := completion{path: path, body: body, short: e.Class == "short", stream: req.Stream, hedge: e.Hedge, maxTokens: e.MaxTokens}
	if reason := c.validate(req); reason != "" {
		return completion{}, notRunError(op, BadRequest, reason)
	}
	if req.MaxTokens != nil {
		c.maxTokens = min(*req.MaxTokens, e.MaxTokens)
	}
	c.body = setMaxTokens(body, req, c.maxTokens)
	c.promptTokens = (len(req.Prompt)+len(req.Messages))/bytesPerToken + 1
	name := ""
	if req.Model != nil {
		name = *req.Model
	}
	m, err := tree.Resolve(e, name)
	if err != nil {
		e := notRunError(op, NoSuchModel, err.Error())
		e.Err = err
		return completion{}, e
	}
	c.model = m
	return c, nil
}

func (c completion) validate(req completionRequest) string {
	text := req.Prompt
	field := "prompt"
	if c.path == engine.PathChat {
		text, field = req.Messages, "messages"
	}
	switch {
	case len(text) == 0 || bytes.Equal(text, []byte("null")):
		return "the field " + field + " is missing"
	case field == "prompt" && text[0] != '"':
		return "prompt must be one string"
	case field == "messages" && text[0] != '[':
		return "messages must be a list"
	case req.MaxTokens != nil && *req.MaxTokens < 1:
		return "max_tokens must be at least 1"
	case req.N != nil && *req.N != 1:
		return "n must be 1"
	}
	return ""
}

// setMaxTokens sets max_tokens in the body to the number that the branch
// allows.
func setMaxTokens(body []byte, req completionRequest, tokens int) []byte {
	if req.MaxTokens != nil && *req.MaxTokens == tokens {
		return body
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return body // cannot happen: the body was parsed before
	}
	m["max_tokens"] = json.RawMessage(strconv.Itoa(tokens))
	out, err := json.Marshal(m)
	if err != nil {
		return body
	}
	return out
}

// duplicateKey returns a duplicate field of the JSON object, or "". Duplicates
// are rejected, since parsers differ in which of the values they use.
func duplicateKey(body []byte) (string, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	tok, err := dec.Token()
	if err != nil {
		return "", err
	}
	if tok != json.Delim('{') {
		return "", errors.New("it starts with something else")
	}
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return "", err
		}
		key := tok.(string)
		if seen[key] {
			return key, nil
		}
		seen[key] = true
		var skip json.RawMessage
		if err := dec.Decode(&skip); err != nil {
			return "", err
		}
	}
	if _, err := dec.Token(); err != nil {
		return "", err
	}
	if _, err := dec.Token(); err != io.EOF {
		return "", errors.New("bytes follow the object")
	}
	return "", nil
}
