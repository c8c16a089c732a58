package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// stopClient is a caller's connection. It writes bytes as a test wants them, and reads
// every byte that comes back.
type stopClient struct {
	conn net.Conn
	r    *bufio.Reader
	err  error // of connecting, or the first one of writing
	// first is a request that is answered before the one that the test is about.
	first string
}

// clientTimeout is longer than any test of a stop takes.
const clientTimeout = 30 * time.Second

func dialStop(address string) *stopClient {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &stopClient{err: err}
	}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout)) // reads and writes report it
	return &stopClient{conn: conn, r: bufio.NewReader(conn)}
}

func (c *stopClient) write(parts ...string) {
	if _, err := io.WriteString(c.conn, strings.Join(parts, "")); err != nil && c.err == nil {
		c.err = err // what was answered can still be read
	}
}

func (c *stopClient) close() { c.conn.Close() }

// answer is what a caller got on a connection.
type answer struct {
	status int // 0 if the connection ended before the first byte
	header http.Header
	close  bool // the response asks the caller to close the connection
	body   string
	err    error // the response, or the part of it that came, is not complete
	end    time.Time
}

// read reads the next response.
func (c *stopClient) read() (a answer) {
	defer func() { a.end = time.Now() }()
	if _, err := c.r.Peek(1); err != nil {
		a.err = err
		return a
	}
	a.status = -1
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header, a.close = resp.StatusCode, resp.Header, resp.Close
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

// verdict is how a request ended for its caller.
type verdict string

const (
	answered verdict = "answered" // 2xx, complete
	refused  verdict = "refused"  // a complete response which says that the request was not run
	unknown  verdict = "unknown"  // a complete response which promises nothing
	unread   verdict = "unread"   // the connection ended without a byte of response
	cut      verdict = "cut"      // the connection ended within the response
)

// verdict classifies the answer. saysNotRun reports whether a response promises that the
// request was not run.
func (a answer) verdict(saysNotRun func(answer) bool) verdict {
	switch {
	case a.status == 0:
		return unread
	case a.err != nil:
		return cut
	case a.status/100 == 2:
		return answered
	case saysNotRun(a):
		return refused
	}
	return unknown
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, close %v, %d bytes %.80q, error %v", a.status, a.close, len(a.body), a.body, a.err)
}
