package memory

import (
	"bytes"
	"io"
)

const (
	minSegment = 512
	maxSegment = 64 << 10
)

// Buffer holds bytes in segments. It grows by what has arrived and is not copied when it grows.
type Buffer struct {
	Holding *Holding // optional

	segments [][]byte
	length   int
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.length }

// Reader returns a reader of the contents, which must not change until it is read.
func (b *Buffer) Reader() io.Reader {
	if len(b.segments) == 1 {
		return bytes.NewReader(b.segments[0])
	}
	parts := make([]io.Reader, len(b.segments))
	for i, s := range b.segments {
		parts[i] = bytes.NewReader(s)
	}
	return io.MultiReader(parts...)
}

// Segments returns the contents in pieces, which must not be changed.
func (b *Buffer) Segments() [][]byte { return b.segments }

// Bytes returns the contents in one piece, which is a copy if there is more than one segment.
func (b *Buffer) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	return bytes.Join(b.segments, nil)
}

// Fill reads from r to its end. announced is the number of bytes that are to come, negative if it is not
// known. It returns an [Error] of kind [TooLarge] once there are more than max bytes, and of kind
// [OverBudget] if they do not fit into the budget. The buffer then has what was read before.
func (b *Buffer) Fill(r io.Reader, announced int64, maxBytes int) error {
	const op = "fill"
	for {
		last := len(b.segments) - 1
		if last < 0 || len(b.segments[last]) == cap(b.segments[last]) {
			size := min(maxSegment, max(minSegment, b.length), maxBytes+1-b.length)
			if left := announced - int64(b.length); left > 0 && left < int64(size) {
				size = int(left)
			}
			if !b.Holding.Grow(int64(size)) {
				return &Error{Op: op, Kind: OverBudget}
			}
			b.segments = append(b.segments, make([]byte, 0, size))
			last++
		}
		s := b.segments[last]
		n, err := r.Read(s[len(s):cap(s)])
		b.segments[last] = s[:len(s)+n]
		b.length += n
		switch {
		case b.length > maxBytes:
			return &Error{Op: op, Kind: TooLarge}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
