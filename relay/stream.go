package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamEvent is one whole event, byte for byte as the server sent it.
type streamEvent struct {
	raw []byte
	id  string
}

// follows reports whether the event comes after the one with the given id.
// Ids that are not numbers are taken to follow.
func (e streamEvent) follows(id string) bool {
	mine, err := strconv.ParseInt(e.id, 10, 64)
	last, err2 := strconv.ParseInt(id, 10, 64)
	return err != nil || err2 != nil || mine > last
}

// eventReader cuts a stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 4<<10)} }

// next returns the next whole event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF when the stream ends within an event.
func (r *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	for {
		line, err := r.r.ReadBytes('\n')
		if err == io.EOF && len(line)+len(ev.raw) > 0 {
			return streamEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return streamEvent{}, err
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return streamEvent{}, errors.New("an event of the stream is too long")
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
