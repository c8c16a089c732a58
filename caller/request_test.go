package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/settings"
)

func testTree() *settings.Tree {
	return settings.FromSnapshot(1, []settings.Document{
		{Kind: settings.Adapter, Name: "tides", Fields: map[string]string{"base-model": "base", "versions": "v1,v2", "current": "v2"}},
		{Kind: settings.Branch, Name: "/till", Fields: map[string]string{"adapter": "tides", "max-tokens": "100", "max-body-bytes": "2000", "concurrency": "2"}},
		{Kind: settings.Caller, Name: "till", Fields: map[string]string{"branch": "/till", "key-hash": HashKey("secret")}},
	})
}

// newTestHandler returns a handler without engines. engineLookups counts its
// calls of Engines, which come after all checks of a request.
func newTestHandler() (h *Handler, engineLookups *int) {
	engineLookups = new(int)
	return &Handler{
		Tree: testTree, Ready: func() *Error { return nil }, Registry: &peer.Registry{}, NewRequestID: func() string { return "id1" },
		Engines: func(string) []string { *engineLookups++; return nil },
	}, engineLookups
}

func send(h *Handler, method, path, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// Invalid requests are rejected with a typed error and reach no engine.
func TestBadInput(t *testing.T) {
	const completions = "/v1/completions"
	for _, tt := range []struct {
		name, method, path, key, body string
		status                        int
		kind                          ErrorKind
	}{
		{"no key", "POST", completions, "", `{"prompt":"x"}`, 401, BadKey},
		{"wrong key", "POST", completions, "guess", `{"prompt":"x"}`, 401, BadKey},
		{"unknown path", "POST", "/v2/x", "secret", ``, 404, NoSuchPath},
		{"peer endpoint", "POST", "/vanilladrift.peer.v1.Peer/Bar", "secret", `{}`, 404, NoSuchPath},
		{"operator endpoint", "POST", "/vanilladrift.operator.v1.Operator/Edit", "secret", `{}`, 404, NoSuchPath},
		{"GET", "GET", completions, "secret", ``, 400, BadRequest},
		{"empty body", "POST", completions, "secret", ``, 400, BadRequest},
		{"truncated", "POST", completions, "secret", `{"prompt":"x`, 400, BadRequest},
		{"JSON array", "POST", completions, "secret", `[1]`, 400, BadRequest},
		{"trailing bytes after the object", "POST", completions, "secret", `{"prompt":"x"} {}`, 400, BadRequest},
		{"invalid UTF-8", "POST", completions, "secret", "{\"prompt\":\"\xff\"}", 400, BadRequest},
		{"duplicated key", "POST", completions, "secret", `{"prompt":"x","model":"tides","model":"other"}`, 400, BadRequest},
		{"wrong type", "POST", completions, "secret", `{"prompt":"x","max_tokens":"ten"}`, 400, BadRequest},
		{"negative max_tokens", "POST", completions, "secret", `{"prompt":"x","max_tokens":-4}`, 400, BadRequest},
		{"fractional max_tokens", "POST", completions, "secret", `{"prompt":"x","max_tokens":1.5}`, 400, BadRequest},
		{"no prompt", "POST", completions, "secret", `{}`, 400, BadRequest},
		{"null prompt", "POST", completions, "secret", `{"prompt":null}`, 400, BadRequest},
		{"several prompts", "POST", completions, "secret", `{"prompt":["a","b"]}`, 400, BadRequest},
		{"messages not a list", "POST", "/v1/chat/completions", "secret", `{"messages":"hi"}`, 400, BadRequest},
		{"n greater than 1", "POST", completions, "secret", `{"prompt":"x","n":3}`, 400, BadRequest},
		{"unknown adapter", "POST", completions, "secret", `{"prompt":"x","model":"ghost"}`, 404, NoSuchModel},
		{"unknown version", "POST", completions, "secret", `{"prompt":"x","model":"tides@v9"}`, 404, NoSuchModel},
		{"body too large", "POST", completions, "secret", `{"prompt":"` + strings.Repeat("x", 3000) + `"}`, 413, BodyTooLarge},
		{"unknown service", "POST", "/v1/services/ghost/pay", "secret", `x`, 404, NoSuchService},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, engineLookups := newTestHandler()
			w := send(h, tt.method, tt.path, tt.key, tt.body)
			is.Equal(w.Code, tt.status)
			is.True(strings.Contains(w.Body.String(), `"type":"`+string(tt.kind)+`"`))
			is.Equal(w.Header().Get(HeaderOutcome), string(NotRun))
			is.Equal(w.Header().Get(engine.HeaderRequestID), "id1")
			is.Equal(*engineLookups, 0)
		})
	}
}

// A body truncated by the network is rejected, not forwarded.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	h, engineLookups := newTestHandler()
	req := httptest.NewRequest(http.MethodPost, "/v1/completions", &truncatedReader{strings.NewReader(`{"prompt":"x"}`)})
	req.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	is.Equal(w.Code, 400)
	is.Equal(*engineLookups, 0)
}

type truncatedReader struct{ *strings.Reader }

// Read implements io.Reader.
func (c *truncatedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err != nil {
		return n, errors.New("connection reset")
	}
	return n, nil
}

func TestNoEngineRetryAfter(t *testing.T) {
	is := is.New(t)
	h, _ := newTestHandler() // has no engines
	start := time.Now()
	w := send(h, "POST", "/v1/completions", "secret", `{"prompt":"x"}`)
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.True(time.Since(start) < 5*time.Second) // immediately, not at the deadline of 30 s
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	var l Limiter
	tree := testTree()
	e, _ := tree.Branch("/till")
	now := time.Now()
	release, err := l.Admit(now, e)
	is.NoErr(err)
	_, err = l.Admit(now, e)
	is.NoErr(err)
	_, err = l.Admit(now, e)
	var ce *Error
	is.True(errors.As(err, &ce) && ce.Kind == ConcurrencyLimit && ce.RetryAfter > 0)
	release()
	_, err = l.Admit(now, e)
	is.NoErr(err)

	limited := *e
	limited.Rate, limited.RateScope, limited.Concurrency = 2, "/slow", 100
	for range 2 {
		_, err = l.Admit(now, &limited)
		is.NoErr(err)
	}
	_, err = l.Admit(now, &limited)
	is.True(errors.As(err, &ce) && ce.Kind == RateLimit && ce.RetryAfter <= time.Second)
	_, err = l.Admit(now.Add(time.Second), &limited)
	is.NoErr(err)
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"prompt":"x","max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"prompt":"x","prompt":"y"}`))
	f.Add([]byte(`{"model":"tides@v1","messages":[{"role":"user","content":"hi"}]}`))
	tree := testTree()
	e, _ := tree.Branch("/till")
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseCompletion(body, engine.PathCompletions, tree, e)
		if err != nil {
			var ce *Error
			if !errors.As(err, &ce) || ce.Outcome != NotRun {
				t.Errorf("error without a type or outcome: %v", err)
			}
			return
		}
		if c.maxTokens < 1 || c.maxTokens > e.MaxTokens || c.model.Name == "" {
			t.Errorf("invalid completion accepted: %+v", c)
		}
	})
}
