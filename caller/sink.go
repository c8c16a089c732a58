package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/engine"
)

// sink writes an answer to the caller: event by event when the caller asked
// for a stream, otherwise whole at the end.
type sink struct {
	w     http.ResponseWriter
	c     completion
	begun bool // bytes have gone to the caller
	text  strings.Builder
	last  engine.Chunk
}

func newSink(w http.ResponseWriter, c completion) *sink { return &sink{w: w, c: c} }

func (s *sink) header(contentType string) {
	h := s.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(HeaderOutcome, string(Ran))
	h.Set(HeaderAdapter, s.c.model.Name)
}

// chunk passes one chunk on under the caller's request id.
func (s *sink) chunk(c engine.Chunk) error {
	c.ID = "cmpl-" + s.c.id
	if !s.c.stream {
		s.collect(c)
		return nil
	}
	if !s.begun {
		s.header("text/event-stream")
		s.begun = true
	}
	if err := s.event(c); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sink) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.w, "data: %s\n\n", b)
	return err
}

func (s *sink) collect(c engine.Chunk) {
	for _, ch := range c.Choices {
		s.text.WriteString(ch.Text)
		if ch.Delta != nil {
			s.text.WriteString(ch.Delta.Content)
		}
	}
	usage := s.last.Usage
	finish := c
	if len(c.Choices) == 0 {
		finish.Choices = s.last.Choices
	}
	if c.Usage == nil {
		finish.Usage = usage
	}
	s.last = finish
}

// whole is the JSON form of an answer that is not streamed.
type whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *engine.Delta `json:"message,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

// done ends a whole answer.
func (s *sink) done() error {
	if s.c.stream {
		_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
		return err
	}
	choice := wholeChoice{Text: s.text.String()}
	object := "text_completion"
	if s.c.path == engine.PathChat {
		object = "chat.completion"
		choice = wholeChoice{Message: &engine.Delta{Role: "assistant", Content: s.text.String()}}
	}
	if len(s.last.Choices) > 0 {
		choice.FinishReason = s.last.Choices[0].FinishReason
	}
	s.header("application/json")
	s.begun = true
	return json.NewEncoder(s.w).Encode(whole{
		ID: "cmpl-" + s.c.id, Object: object, Model: s.c.model.Name,
		Choices: []wholeChoice{choice}, Usage: s.last.Usage,
	})
}

// abort tells a caller whose stream has begun that it is not whole. The end
// marker is left out.
func (s *sink) abort(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "stream", Kind: Incomplete, Outcome: Unknown, Reason: err.Error()}
	}
	_ = s.event(detail(e)) // the caller has gone away
	return nil
}
