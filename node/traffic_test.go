package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// request sends a completion through a node and judges the answer.
func (c *cluster) request(node int, key string, adapter int, version string, tokens int, stream bool) {
	model := adapterName(adapter)
	if version != "" {
		model += "@" + version
	}
	c.mu.Lock()
	c.edits++
	prompt := fmt.Sprintf("prompt %d", c.edits)
	c.mu.Unlock()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
	start := time.Now()
	resp, err := c.post(node, engine.PathCompletions, key, "", body)
	if err != nil {
		c.count("broken connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.refusal(resp, "request")
		return
	}
	text, answered, whole := readTestAnswer(resp.Body, stream)
	if !whole {
		c.count("incomplete")
		return
	}
	c.count("served")
	name, got, _ := strings.Cut(answered, "@")
	if name != adapterName(adapter) || version != "" && got != version {
		c.fault("asked for %s, answered by %s", model, answered)
	}
	if version == "" && !c.mayBeCurrent(name, got, start, time.Now()) {
		c.fault("%s answered at %v, which was no longer in force at %v", answered, time.Now(), start)
	}
	if text != standin.Completion(answered, prompt, tokens) {
		c.fault("the answer to %q is not whole: %d bytes", prompt, len(text))
	}
}

func (c *cluster) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[what]++
}

func (c *cluster) refusal(resp *http.Response, what string) caller.Outcome {
	var e struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Error.Type == "" {
		c.fault("%s refused with status %d and no typed error", what, resp.StatusCode)
	}
	outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	c.count(what + " " + e.Error.Type + " " + string(outcome))
	return outcome
}

func (c *cluster) post(node int, path, key, idempotency, body string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddress(node)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, idempotency)
	}
	resp, err := c.net.Client(outside).Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	cancel()
	if err != nil && resp.StatusCode != http.StatusOK {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return resp, nil
}

func readTestAnswer(r io.Reader, stream bool) (text, model string, whole bool) {
	if !stream {
		var a struct {
			Model   string
			Choices []struct{ Text string }
		}
		if err := json.NewDecoder(r).Decode(&a); err != nil || len(a.Choices) == 0 {
			return "", "", false
		}
		return a.Choices[0].Text, a.Model, true
	}
	var b strings.Builder
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, _ := strings.CutPrefix(sc.Text(), "data: ")
		if data == "[DONE]" {
			return b.String(), model, true
		}
		var chunk engine.Chunk
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			model = chunk.Model
			b.WriteString(chunk.Choices[0].Text)
		}
	}
	return "", "", false
}

// order places an order with an idempotency key through a node.
func (c *cluster) order(node, service, number int) {
	body := fmt.Sprintf("order %d of service %d", number, service)
	resp, err := c.post(node, fmt.Sprintf("/v1/services/s%d/place", service), "counter", body, body)
	outcome := caller.Unknown
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK:
		outcome = caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
		c.count("order " + string(outcome))
	default:
		outcome = c.refusal(resp, "order")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[body] = append(c.orders[body], outcome)
}
