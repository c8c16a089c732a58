package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
)

// Places are the places of all values in a JSON file. The zero value has none.
type Places struct {
	byPath   map[string]Place // by the path in lower case, since the decoders ignore the case of names
	ends     []valueEnd       // in the order of the file
	newlines []int            // offsets of the ends of lines
}

// valueEnd is where the first token of a value ends.
type valueEnd struct {
	offset int64
	place  Place
}

// SyntaxError is the error of a file that is not JSON.
type SyntaxError struct {
	Line int
	Err  error
}

// Error implements the error interface.
func (e *SyntaxError) Error() string { return fmt.Sprintf("check: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// ReadPlaces returns the places of the values in a JSON file.
func ReadPlaces(data []byte) (*Places, error) {
	p := &Places{byPath: make(map[string]Place)}
	for i, b := range data {
		if b == '\n' {
			p.newlines = append(p.newlines, i)
		}
	}
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		offset := int64(len(data))
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		return nil, &SyntaxError{Line: p.line(offset), Err: err}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber() // a number may be too large for a float
	if err := p.readValue(dec, ""); err != nil && !errors.Is(err, io.EOF) {
		return nil, &SyntaxError{Line: p.line(dec.InputOffset()), Err: err}
	}
	return p, nil
}

// line returns the line of the byte before an offset.
func (p *Places) line(offset int64) int {
	return sort.SearchInts(p.newlines, int(max(1, offset)-1)) + 1
}

// readValue records the places of the value that the decoder is at, and of those in it.
func (p *Places) readValue(dec *json.Decoder, path string) error {
	tok, err := dec.Token()
	if err != nil {
		return err
	}
	place := Place{Line: p.line(dec.InputOffset()), Path: path}
	p.byPath[strings.ToLower(path)] = place
	p.ends = append(p.ends, valueEnd{dec.InputOffset(), place})
	delim, _ := tok.(json.Delim)
	for i := 0; delim != 0 && dec.More(); i++ {
		inner := path + "[" + strconv.Itoa(i) + "]"
		if delim == '{' {
			name, err := dec.Token()
			if err != nil {
				return err
			}
			inner = strings.TrimPrefix(fmt.Sprintf("%s.%s", path, name), ".")
		}
		if err := p.readValue(dec, inner); err != nil {
			return err
		}
	}
	if delim != 0 {
		_, err = dec.Token() // the end of the list or object
	}
	return err
}

// At returns the place of the first of the paths that is in the file. If none is, it returns the last
// path with the line of the value at the path within.
func (p *Places) At(within string, paths ...string) Place {
	for _, path := range paths {
		if place, ok := p.byPath[strings.ToLower(path)]; ok {
			return place
		}
	}
	return Place{Line: p.byPath[strings.ToLower(within)].Line, Path: paths[len(paths)-1]}
}

// AtOffset returns the place of the value that a decoder had begun to read at an offset.
func (p *Places) AtOffset(offset int64) Place {
	i := sort.Search(len(p.ends), func(i int) bool { return p.ends[i].offset >= offset })
	if i == len(p.ends) {
		return Place{}
	}
	return p.ends[i].place
}
