package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	chunk1              = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"one ","finish_reason":null}],"usage":{"completion_tokens":1}}` + "\n\n"
	chunk2              = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"two ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	lastChunk           = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"end","finish_reason":"stop"}],"usage":{"completion_tokens":3}}` + "\n\n"
	chunkOfOtherRequest = `data: {"id":"cmpl-r2","model":"a@1","choices":[{"text":"alien ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	chunkOfOtherModel   = `data: {"id":"cmpl-r1","model":"a@2","choices":[{"text":"two ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	endMarker           = "data: [DONE]\n\n"
)

func readAll(body string, resume int) (text string, err error) {
	s := newStream("e", CompletionRequest{Model: "a@1", ID: "r1", ResumeFrom: resume}, io.NopCloser(strings.NewReader(body)))
	for {
		c, err := s.Next()
		if err != nil {
			return text, err
		}
		for _, ch := range c.Choices {
			text += ch.Text
		}
	}
}

func TestStream(t *testing.T) {
	for _, tt := range []struct {
		name string
		body string
		text string
		kind ErrorKind // empty for a complete stream
	}{
		{"whole", chunk1 + chunk2 + lastChunk + endMarker, "one two end", ""},
		{"comments and blank lines", ": hello\n\n" + chunk1 + "\n\nevent: x\n" + chunk2 + lastChunk + endMarker, "one two end", ""},
		{"crossed", chunk1 + chunkOfOtherRequest + chunk2 + lastChunk + endMarker, "one two end", ""},
		{"repeated", chunk1 + chunk1 + chunk2 + chunk2 + chunk1 + lastChunk + endMarker, "one two end", ""},
		{"chunk after the finish reason", chunk1 + chunk2 + lastChunk + chunk2 + endMarker, "one two end", ""},
		{"wrong adapter", chunk1 + chunkOfOtherModel + lastChunk + endMarker, "one ", WrongResponse},
		{"cut after a chunk", chunk1 + chunk2, "one two ", Incomplete},
		{"cut inside a chunk", chunk1 + chunk2[:40], "one ", Incomplete},
		{"cut before the end marker", chunk1 + chunk2 + lastChunk, "one two end", Incomplete},
		{"end marker without a finish reason", chunk1 + endMarker, "one ", Incomplete},
		{"empty", "", "", Incomplete},
		{"junk", "data: {{{\n\n", "", Incomplete},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text, err := readAll(tt.body, 0)
			is.Equal(text, tt.text)
			if tt.kind == "" {
				is.Equal(err, io.EOF)
				return
			}
			is.True(IsKind(err, tt.kind))
		})
	}
}

// No input completes a stream without its end marker or causes a panic.
func FuzzStream(f *testing.F) {
	f.Add(chunk1 + chunk2 + lastChunk + endMarker)
	f.Add(chunk1 + chunkOfOtherRequest + chunkOfOtherModel)
	f.Add("data: {\"choices\":[{}]}\n\n" + endMarker)
	f.Fuzz(func(t *testing.T, body string) {
		_, err := readAll(body, 0)
		if err == io.EOF && !strings.Contains(body, "[DONE]") {
			t.Error("stream is complete without an end marker")
		}
	})
}
