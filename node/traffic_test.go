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

// sendRequest sends a completion request through a node and checks the response.
func (c *cluster) sendRequest(node int, key string, adapter int, version string, tokens int, stream bool) {
	model := adapterName(adapter)
	if version != "" {
		model += "@" + version
	}
	c.mu.Lock()
	c.lastID++
	prompt := fmt.Sprintf("prompt %d", c.lastID)
	c.mu.Unlock()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
	start := time.Now()
	resp, err := c.post(node, engine.PathCompletions, key, "", body)
	if err != nil {
		c.countOutcome("broken connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.recordRefusal(resp, "request")
		return
	}
	text, servedModel, complete := readResponse(resp.Body, stream)
	if !complete {
		c.countOutcome("incomplete")
		return
	}
	c.countOutcome("served")
	name, got, _ := strings.Cut(servedModel, "@")
	if name != adapterName(adapter) || version != "" && got != version {
		c.reportViolation("requested %s, served by %s", model, servedModel)
	}
	if version == "" && !c.mayBeCurrent(name, got, start, time.Now()) {
		c.reportViolation("%s served at %v, although it was no longer in force at %v", servedModel, time.Now(), start)
	}
	if text != standin.Completion(servedModel, prompt, tokens) {
		c.reportViolation("response to %q is incomplete or wrong: %d bytes", prompt, len(text))
	}
}

func (c *cluster) countOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

func (c *cluster) recordRefusal(resp *http.Response, what string) caller.Outcome {
	var e struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Error.Type == "" {
		c.reportViolation("%s refused with status %d and no typed error", what, resp.StatusCode)
	}
	outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	c.countOutcome(what + " " + e.Error.Type + " " + string(outcome))
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
	resp, err := c.net.Client(callerProcess).Do(req)
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

func readResponse(r io.Reader, stream bool) (text, model string, complete bool) {
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

// placeOrder sends an order with an idempotency key through a node and records its
// outcome.
func (c *cluster) placeOrder(node, service, number int) {
	body := fmt.Sprintf("order %d of service %d", number, service)
	resp, err := c.post(node, fmt.Sprintf("/v1/services/s%d/place", service), "counter", body, body)
	outcome := caller.Unknown
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK:
		outcome = caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
		c.countOutcome("order " + string(outcome))
	default:
		outcome = c.recordRefusal(resp, "order")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[body] = append(c.orders[body], outcome)
}
