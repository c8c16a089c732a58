package logs

import (
	"bytes"
	"io"
)

// standardWriter passes on messages of the standard library's log.
type standardWriter struct{ log func(msg string) }

// NewStandardWriter returns an output for the standard library's log, to which net/http writes. It
// passes each message on without what stands in quotation marks: net/http quotes the bytes of a response
// that it did not await, and those of the store may contain the keys of client accounts.
func NewStandardWriter(log func(msg string)) io.Writer { return standardWriter{log} }

// Write implements io.Writer. Each call writes one message.
func (w standardWriter) Write(p []byte) (int, error) {
	msg, _, isQuoting := bytes.Cut(p, []byte(`"`))
	text := string(bytes.TrimSpace(msg))
	if isQuoting {
		text += " (left out)"
	}
	w.log(text)
	return len(p), nil
}
