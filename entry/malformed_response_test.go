package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/transport"
)

// Guards against an answer with a status of 000, or with a blank in the name of a field, that callers get or that closes
// their connection; the connection to the server is not used again.
func TestMalformedAnswersOfServersAreFailed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 2\r\n",
		"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Field: 1\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			c := newEarlyConn(head + platform.RequestIDHeader + ": r1\r\n\r\nok")
			c.keepOpen = true
			_, err := postTo(c, "body")
			is.True(transport.IsKind(err, transport.Malformed))
			<-c.closed
		})
	}
}
