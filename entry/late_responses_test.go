package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scriptedConn is a connection whose other end has sent the given parts.
type scriptedConn struct {
	net.Conn
	parts []string
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; c.parts[0] == "" {
		c.parts = c.parts[1:]
	}
	return n, nil
}

// Guards against late responses that reach the HTTP transport, and against parts of the awaited
// one that do not.
func TestLateResponsesAreDropped(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nX-Vanilladrift-Request-Id: "
		late    = head + "r1\r\nContent-Length: 4\r\n\r\nlate"
		chunked = head + "r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n"
		own     = head + "r2\r\nContent-Length: 3\r\n\r\nown"
		reply   = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		stream  = head + "r2\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	lower := func(response string) string { return strings.Replace(response, "X-Vanilladrift", "x-vanilladrift", 1) }
	long := head + "r1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	for _, tt := range []struct {
		name    string
		method  string
		id      string
		parts   []string
		want    string
		dropped int
	}{
		{"none", "POST", "r2", []string{own}, own, 0},
		{"in one part", "POST", "r2", []string{late + own}, own, 1},
		{"in single bytes", "POST", "r2", strings.Split(late+chunked+own, ""), own, 2},
		{"chunked", "POST", "r2", []string{chunked, own}, own, 1},
		{"the ID is part of a longer one", "POST", "r2", []string{strings.Replace(late, "r1", "r22", 1), own}, own, 1},
		{"another spelling of the header", "POST", "r2", []string{lower(late), lower(own)}, lower(own), 1},
		{"events of a stream come one by one", "POST", "r2", []string{late, stream, "id: 1\n\n", late}, stream + "id: 1\n\n" + late, 1},
		{"a command's reply after a response", "POST", "", []string{late, reply}, reply, 1},
		{"a reply without an ID is passed on", "POST", "r2", []string{reply, own}, reply + own, 0},
		{"no response", "POST", "r2", []string{"garbage", own}, "garbage" + own, 0},
		{"too many", "POST", "r2", []string{late, late, late, late, late, own}, late + own, 4},
		{"too long", "POST", "r2", []string{long, own}, long + own, 0},
		{"ends with the connection", "POST", "r2", []string{head + "r1\r\n\r\nlate"}, "", 1},
		{"after a HEAD request", "HEAD", "r2", []string{late, own}, late + own, 0},
		{"a head without end", "POST", "r2", []string{head, strings.Repeat("x", 2*maxHeadBytes)}, head + strings.Repeat("x", 2*maxHeadBytes), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &serverConn{Conn: &scriptedConn{parts: tt.parts}}
			dropped := 0
			c.begin(tt.method, &awaited{id: tt.id, onLate: func(*http.Response) { dropped++ }})
			got, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(got), tt.want)
			is.Equal(dropped, tt.dropped)
		})
	}
}
