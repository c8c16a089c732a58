package transport

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// A body at its limit is whole; a longer or broken one yields nothing.
func TestReadBody(t *testing.T) {
	for _, tt := range []struct {
		name string
		body io.Reader
		kind ErrorKind
	}{
		{"at the limit", strings.NewReader("12345678"), ""},
		{"over the limit", strings.NewReader("123456789"), TooLong},
		{"without end", iotest.DataErrReader(endlessReader{}), TooLong},
		{"reset at the limit", io.MultiReader(strings.NewReader("12345678"), iotest.ErrReader(errors.New("reset"))), Broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := ReadBody(tt.body, 8)
			is.Equal(err == nil, tt.kind == "")
			is.Equal(IsKind(err, tt.kind), tt.kind != "")
			is.Equal(len(b) > 0, tt.kind == "")
		})
	}
}

type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
