package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/memory"
)

// maxEventBytes limits the size of one stream event. Every open stream may hold that
// much.
const maxEventBytes = 64 << 10

var errEventTooLong = errors.New("an event of the stream is too long")

// streamEvent is one complete event, with the bytes as the server sent them.
type streamEvent struct {
	raw        []byte
	id         string
	hasContent bool // it has data other than white space
}

// isAfter reports whether the event comes after the one with the given ID. It
// is true if either ID is not a number.
func (e streamEvent) isAfter(id string) bool {
	eventID, err := strconv.ParseInt(e.id, 10, 64)
	lastID, err2 := strconv.ParseInt(id, 10, 64)
	return err != nil || err2 != nil || eventID > lastID
}

// eventReader splits a stream into events.
type eventReader struct {
	r       *bufio.Reader
	holding *memory.Holding // optional
	held    int             // size up to which events count in the holding
}

// eventBytes is the size of a reader's buffer, and of events that count in what a request holds anyway.
const eventBytes = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBytes), held: eventBytes}
}

// grow reports whether an event may have n bytes. They count twice, as an event is copied when it grows.
func (r *eventReader) grow(n int) bool {
	if n <= r.held {
		return true
	}
	if !r.holding.Grow(2 * int64(n-r.held)) {
		return false
	}
	r.held = n
	return true
}

// next returns the next complete event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF if the stream ends within an event or a line. Comments
// and blank lines after the last event are returned as an event without an ID.
func (r *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	hasField := false
	for {
		lineStart := len(ev.raw)
		part, err := r.r.ReadSlice('\n')
		for ; err == bufio.ErrBufferFull; part, err = r.r.ReadSlice('\n') {
			if !r.grow(len(ev.raw) + len(part)) {
				return streamEvent{}, responseMemoryError()
			}
			ev.raw = append(ev.raw, part...)
			if len(ev.raw) > maxEventBytes {
				return streamEvent{}, errEventTooLong
			}
		}
		if !r.grow(len(ev.raw) + len(part)) {
			return streamEvent{}, responseMemoryError()
		}
		ev.raw = append(ev.raw, part...)
		if err == io.EOF && len(ev.raw) > 0 {
			if !hasField && len(ev.raw) == lineStart {
				return ev, nil
			}
			return streamEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return streamEvent{}, err
		}
		if len(ev.raw) > maxEventBytes {
			return streamEvent{}, errEventTooLong
		}
		line := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		hasField = hasField || line[0] != ':' && len(bytes.TrimSpace(line)) > 0
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		ev.hasContent = ev.hasContent || ok && len(bytes.TrimSpace(data)) > 0
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
