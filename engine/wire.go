package engine

import "encoding/json"

// Names of headers between entry nodes, owners and engines.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderFencingToken = "Fencing-Token"
	HeaderEngineBoot   = "Engine-Boot" // differs for every start of the engine
)

// Paths of the engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathLoad        = "/v1/load_lora_adapter"
	PathUnload      = "/v1/unload_lora_adapter"
	PathFence       = "/v1/fence"
	PathCancel      = "/v1/cancel"
	PathReport      = "/v1/load-report"
)

// Chunk is one event of an answer stream in the published OpenAI form.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object,omitempty"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a chunk. Completions fill Text, chat fills Delta.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the increment of a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts tokens. Engines send it with every chunk when asked for
// continuous usage.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AdapterCommand is the body of a load or unload order.
type AdapterCommand struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// LoadReport is an engine's report of its load. It may be late.
type LoadReport struct {
	Boot     string   `json:"boot"`
	Loaded   []string `json:"loaded"`
	Streams  []string `json:"streams"` // ids of running requests
	Running  int      `json:"running"`
	Draining bool     `json:"leaving"`
}

// errorBody is the published form of an error answer.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// body is a request body whose unknown fields are kept as they came.
type body map[string]json.RawMessage

func (b body) set(name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // only strings, numbers and booleans are set
	}
	b[name] = raw
}
