package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

const maxEventBytes = 1 << 20

// Stream is the answer of an engine to one request. Its chunks are verified:
// each names the request and the adapter that were asked for, repeated chunks
// are dropped, and the stream is whole only when its end marker came.
type Stream struct {
	engine   string
	call     CompletionRequest
	rc       io.ReadCloser
	sc       *bufio.Scanner
	tokens   int
	finished bool
}

func newStream(engine string, call CompletionRequest, rc io.ReadCloser) *Stream {
	sc := bufio.NewScanner(rc)
	sc.Buffer(nil, maxEventBytes)
	return &Stream{engine: engine, call: call, rc: rc, sc: sc, tokens: call.ResumeFrom}
}

// ExpectedTokens returns the number of tokens received, those before a resume included.
func (s *Stream) Tokens() int { return s.tokens }

// Close ends the stream; the engine stops generating when it sees it.
func (s *Stream) Close() error { return s.rc.Close() }

// Next returns the next chunk. It returns io.EOF after the end marker, and an
// [Error] of kind [Incomplete] when the stream ends before it.
func (s *Stream) Next() (Chunk, error) {
	for s.sc.Scan() {
		data, ok := bytes.CutPrefix(s.sc.Bytes(), []byte("data:"))
		if !ok {
			continue // comments, event names and blank lines carry nothing here
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if !s.finished {
				return Chunk{}, s.fail(Incomplete, errors.New("end marker without a finish reason"))
			}
			return Chunk{}, io.EOF
		}
		c, keep, err := s.accept(data)
		if err != nil {
			return Chunk{}, err
		}
		if keep {
			return c, nil
		}
	}
	err := s.sc.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Chunk{}, s.fail(Incomplete, err)
}

func (s *Stream) accept(data []byte) (c Chunk, keep bool, err error) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, false, s.fail(Incomplete, err)
	}
	if c.ID != completionID+s.call.ID {
		return c, false, nil // a late or crossed answer to another request
	}
	if c.Model != s.call.Model {
		return c, false, s.fail(WrongResponse, errors.Errorf("answer from %q", c.Model))
	}
	if s.finished {
		return c, false, nil
	}
	if c.Usage != nil && c.Usage.CompletionTokens <= s.tokens && len(c.Choices) > 0 && c.Choices[0].FinishReason == nil {
		return c, false, nil // repeated
	}
	switch {
	case c.Usage != nil:
		s.tokens = c.Usage.CompletionTokens
	case len(c.Choices) > 0:
		s.tokens++
	}
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		s.finished = true
	}
	return c, true, nil
}

func (s *Stream) fail(kind ErrorKind, err error) error {
	return &Error{Op: "read", Kind: kind, Engine: s.engine, Err: err}
}
