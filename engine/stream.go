package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

const maxEventBytes = 1 << 20

// Stream is the response stream of an engine to one request. It checks that each
// chunk belongs to the request and the adapter, drops repeated chunks, and treats
// the stream as complete only after its end marker.
type Stream struct {
	engine   string
	req      CompletionRequest
	rc       io.ReadCloser
	sc       *bufio.Scanner
	tokens   int
	finished bool
}

func newStream(engine string, req CompletionRequest, rc io.ReadCloser) *Stream {
	sc := bufio.NewScanner(rc)
	sc.Buffer(nil, maxEventBytes)
	return &Stream{engine: engine, req: req, rc: rc, sc: sc, tokens: req.ResumeFrom}
}

// Tokens returns the number of tokens received, including those of earlier
// attempts.
func (s *Stream) Tokens() int { return s.tokens }

// Close closes the connection, upon which the engine stops generating.
func (s *Stream) Close() error { return s.rc.Close() }

// Next returns the next chunk. It returns io.EOF after the end marker, and an
// [Error] of kind [Incomplete] when the stream ends before it.
func (s *Stream) Next() (Chunk, error) {
	for s.sc.Scan() {
		data, ok := bytes.CutPrefix(s.sc.Bytes(), []byte("data:"))
		if !ok {
			continue // ignore comments, event names and blank lines
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if !s.finished {
				return Chunk{}, s.newError(Incomplete, errors.New("end marker without a finish reason"))
			}
			return Chunk{}, io.EOF
		}
		c, keep, err := s.checkChunk(data)
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
	return Chunk{}, s.newError(Incomplete, err)
}

func (s *Stream) checkChunk(data []byte) (c Chunk, keep bool, err error) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, false, s.newError(Incomplete, err)
	}
	if c.ID != completionIDPrefix+s.req.ID {
		return c, false, nil // chunk of another request
	}
	if c.Model != s.req.Model {
		return c, false, s.newError(WrongResponse, errors.Errorf("response is from model %q", c.Model))
	}
	if s.finished {
		return c, false, nil
	}
	if c.Usage != nil && c.Usage.CompletionTokens <= s.tokens && len(c.Choices) > 0 && c.Choices[0].FinishReason == nil {
		return c, false, nil // repeated chunk
	}
	switch {
	case c.Usage != nil:
		s.tokens = c.Usage.CompletionTokens
	case c.HasContent():
		s.tokens++
	}
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		s.finished = true
	}
	return c, true, nil
}

func (s *Stream) newError(kind ErrorKind, err error) error {
	return &Error{Op: "read", Kind: kind, Engine: s.engine, Err: err}
}
