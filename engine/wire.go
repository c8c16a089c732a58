package engine

import "encoding/json"

// HTTP headers between entry nodes, owners and engines.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderFencingToken = "Fencing-Token"
	HeaderEngineBoot   = "Engine-Boot" // differs for every start of the engine
)

// Paths of the engine's HTTP API.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathLoad        = "/v1/load_lora_adapter"
	PathUnload      = "/v1/unload_lora_adapter"
	PathFence       = "/v1/fence"
	PathCancel      = "/v1/cancel"
	PathReport      = "/v1/load-report"
)

// Chunk is one event of a response stream in the OpenAI format.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object,omitempty"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// HasContent reports whether the chunk has text or ends the response.
func (c Chunk) HasContent() bool {
	for _, ch := range c.Choices {
		if ch.Text != "" || ch.Delta != nil && ch.Delta.Content != "" || ch.FinishReason != nil {
			return true
		}
	}
	return false
}

// Choice is one choice of a chunk. Completions set Text, chat completions set
// Delta.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the increment of a chat completion.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage is the number of tokens so far. Engines send it with every chunk if the
// request asks for continuous usage.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AdapterCommand is the body of a load or unload command.
type AdapterCommand struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// LoadReport is an engine's load report. It may be out of date.
type LoadReport struct {
	Boot     string   `json:"boot"`
	Loaded   []string `json:"loaded"`
	Streams  []string `json:"streams"` // IDs of running requests
	Running  int      `json:"running"`
	Draining bool     `json:"leaving"`
}

// errorBody is an error response in the OpenAI format.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// requestBody is a request body that keeps its unknown fields unchanged.
type requestBody map[string]json.RawMessage

func (b requestBody) set(name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // only strings, numbers and booleans are set
	}
	b[name] = raw
}
