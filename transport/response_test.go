package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
)

// malformedHeads are heads that are none by RFC 9112, and that net/http accepts in part.
var malformedHeads = []string{
	"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 -01 Odd\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 +20 Odd\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Field: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Field\t: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x01Field: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x00Field: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x7fField: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Field: a\x00b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Field: a\x07b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
}

// wholeHeads are heads of responses, with all that servers may send.
var wholeHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 599 \r\nContent-Length: 2\r\nX-Field: a\tb \xe9\r\nx!#$%&'*+.^_`|~9: 1\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nX-Empty:\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
}

// rawServer answers each request with a head and the body "ok", and counts its connections.
func rawServer(t *testing.T, head string) (url string, conns *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, head+"ok"); err != nil || strings.HasPrefix(head, "HTTP/1.0") {
						return
					}
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String(), conns
}

// Guards against a client that gets what is no answer: a status of 000, or the name of a field with a blank or a control
// byte, which also hides how the body is framed. The connection must not carry another request.
func TestMalformedResponsesAreFailed(t *testing.T) {
	for _, head := range malformedHeads {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			url, conns := rawServer(t, head)
			c := NewClient()
			for i := range 2 {
				resp, err := c.Get(url)
				if err == nil {
					resp.Body.Close()
				}
				is.True(err != nil)
				is.Equal(conns.Load(), int64(i+1))
			}
		})
	}
	for _, head := range wholeHeads {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			url, _ := rawServer(t, head)
			resp, err := NewClient().Get(url)
			is.NoErr(err)
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(b), "ok")
		})
	}
}

// What passes the check is a response in which each line of the head is a field.
func FuzzCheckResponse(f *testing.F) {
	for _, head := range slices.Concat(malformedHeads, wholeHeads) {
		f.Add([]byte(head + "ok"))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil || CheckResponse(resp) != nil {
			return
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field %q", name)
			}
		}
	})
}
