package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	one   = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"one ","finish_reason":null}],"usage":{"completion_tokens":1}}` + "\n\n"
	two   = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"two ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	last  = `data: {"id":"cmpl-r1","model":"a@1","choices":[{"text":"end","finish_reason":"stop"}],"usage":{"completion_tokens":3}}` + "\n\n"
	cross = `data: {"id":"cmpl-r2","model":"a@1","choices":[{"text":"alien ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	wrong = `data: {"id":"cmpl-r1","model":"a@2","choices":[{"text":"two ","finish_reason":null}],"usage":{"completion_tokens":2}}` + "\n\n"
	done  = "data: [DONE]\n\n"
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
		kind ErrorKind // empty: whole
	}{
		{"whole", one + two + last + done, "one two end", ""},
		{"comments and blank lines", ": hello\n\n" + one + "\n\nevent: x\n" + two + last + done, "one two end", ""},
		{"crossed", one + cross + two + last + done, "one two end", ""},
		{"repeated", one + one + two + two + one + last + done, "one two end", ""},
		{"late after the end", one + two + last + two + done, "one two end", ""},
		{"wrong adapter", one + wrong + last + done, "one ", WrongResponse},
		{"cut after a chunk", one + two, "one two ", Incomplete},
		{"cut inside a chunk", one + two[:40], "one ", Incomplete},
		{"cut before the end marker", one + two + last, "one two end", Incomplete},
		{"end marker too early", one + done, "one ", Incomplete},
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

// Bytes from an engine never make a stream whole without its end marker, and
// never panic.
func FuzzStream(f *testing.F) {
	f.Add(one + two + last + done)
	f.Add(one + cross + wrong)
	f.Add("data: {\"choices\":[{}]}\n\n" + done)
	f.Fuzz(func(t *testing.T, body string) {
		_, err := readAll(body, 0)
		if err == io.EOF && !strings.Contains(body, "[DONE]") {
			t.Error("whole without an end marker")
		}
	})
}
