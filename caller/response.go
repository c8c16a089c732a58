package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// respWriter writes a completion to the caller: chunk by chunk if the caller
// requested a stream, otherwise in one piece at the end.
type respWriter struct {
	w             http.ResponseWriter
	req           completion
	headerWritten bool // the response header has been sent to the caller
	text          strings.Builder
	lastChunk     engine.Chunk
}

func newRespWriter(w http.ResponseWriter, c completion) *respWriter { return &respWriter{w: w, req: c} }

func (rw *respWriter) setHeader(contentType string) {
	h := rw.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(HeaderOutcome, string(Ran))
	h.Set(HeaderAdapter, rw.req.model.Name)
}

// writeChunk writes one chunk under the caller's request ID.
func (rw *respWriter) writeChunk(c engine.Chunk) error {
	c.ID = "cmpl-" + rw.req.id
	if !rw.req.stream {
		rw.appendChunk(c)
		return nil
	}
	if !rw.headerWritten {
		rw.setHeader("text/event-stream")
		rw.headerWritten = true
	}
	if err := rw.writeEvent(c); err != nil {
		return err
	}
	return http.NewResponseController(rw.w).Flush()
}

func (rw *respWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(rw.w, "data: %s\n\n", b)
	return err
}

func (rw *respWriter) appendChunk(c engine.Chunk) {
	for _, ch := range c.Choices {
		rw.text.WriteString(ch.Text)
		if ch.Delta != nil {
			rw.text.WriteString(ch.Delta.Content)
		}
	}
	usage := rw.lastChunk.Usage
	last := c
	if len(c.Choices) == 0 {
		last.Choices = rw.lastChunk.Choices
	}
	if c.Usage == nil {
		last.Usage = usage
	}
	rw.lastChunk = last
}

// completionResponse is the JSON form of a response that is not streamed.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *engine.Usage    `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *engine.Delta `json:"message,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

// finish writes the end of a stream, or the response that is not streamed.
func (rw *respWriter) finish() error {
	if rw.req.stream {
		_, err := fmt.Fprint(rw.w, "data: [DONE]\n\n")
		return err
	}
	choice := responseChoice{Text: rw.text.String()}
	object := "text_completion"
	if rw.req.path == engine.PathChat {
		object = "chat.completion"
		choice = responseChoice{Message: &engine.Delta{Role: "assistant", Content: rw.text.String()}}
	}
	if len(rw.lastChunk.Choices) > 0 {
		choice.FinishReason = rw.lastChunk.Choices[0].FinishReason
	}
	rw.setHeader("application/json")
	rw.headerWritten = true
	return json.NewEncoder(rw.w).Encode(completionResponse{
		ID: "cmpl-" + rw.req.id, Object: object, Model: rw.req.model.Name,
		Choices: []responseChoice{choice}, Usage: rw.lastChunk.Usage,
	})
}

// abort reports an error to a caller whose stream has started. It leaves out
// the [DONE] marker, so that the response is not taken as complete.
func (rw *respWriter) abort(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "stream", Kind: Incomplete, Outcome: Unknown, Reason: err.Error()}
	}
	_ = rw.writeEvent(newErrorBody(e)) // an error means that the caller has disconnected
	return nil
}
