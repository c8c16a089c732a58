package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	// maxLateResponses bounds the responses that are dropped before the one that is awaited, and
	// maxLateBytes the body of each. A connection with more is given up.
	maxLateResponses = 4
	maxLateBytes     = 64 << 10
)

// awaited is the response that a connection waits for.
type awaited struct {
	id     string                    // of the request; empty for a call without an ID
	onLate func(resp *http.Response) // called for each response that is dropped
}

// Read implements net.Conn. It drops whole responses to other requests that come before the one
// that is awaited. What it cannot read it passes on, for the HTTP transport to judge.
func (c *serverConn) Read(p []byte) (int, error) {
	for {
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		}
		n, err := c.Conn.Read(p)
		if n == 0 || err != nil {
			return n, err
		}
		a := c.takeAwaited()
		if a == nil || a.isFirst(p[:n]) {
			return n, nil
		}
		c.unread = c.dropLate(p[:n], a)
	}
}

// takeAwaited returns the response that the connection waits for, once.
func (c *serverConn) takeAwaited() *awaited {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.awaited
	c.awaited = nil
	return a
}

// isFirst reports whether the bytes certainly begin with the head of the awaited response.
func (a *awaited) isFirst(b []byte) bool {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	return end >= 0 && a.id != "" && bytes.Contains(b[:end+2], []byte("\r\n"+platform.RequestIDHeader+": "+a.id+"\r\n"))
}

// dropLate reads responses until one may be the awaited one, and returns the bytes of it that were
// read, from its start on.
func (c *serverConn) dropLate(first []byte, a *awaited) []byte {
	var raw bytes.Buffer
	source := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(first), c.Conn)}
	r := bufio.NewReaderSize(io.TeeReader(source, &raw), ioBufferBytes)
	for range maxLateResponses {
		source.N = maxHeadBytes
		resp, err := http.ReadResponse(r, nil)
		if err != nil || transport.CheckResponse(resp) != nil || !platform.IsLateResponse(resp.Header, a.id) {
			break
		}
		source.N = maxLateBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			break
		}
		raw.Next(raw.Len() - r.Buffered())
		a.onLate(resp)
	}
	return raw.Bytes()
}
