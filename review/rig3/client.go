package rig3

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a client got.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int // 0 if the connection ended without an answer
	Seal   string
	Body   string
	Err    error // set if the answer is not whole
}

var lastID atomic.Int64

// NewID returns the id of a new client attempt.
func NewID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// Client sends requests of one client.
type Client struct {
	HTTP *http.Client
}

// NewClient returns a client that keeps its connections.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Do sends one request and records it with its answer.
func (s *System) Do(c *Client, n *Node, method, host, path, body string, deadline time.Duration) Answer {
	a := Answer{ID: NewID(), Sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+n.Callers+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the arguments are constants
	}
	req.Host = host
	req.GetBody = nil // one client attempt is sent once
	req.Header.Set(HeaderID, a.ID)
	req.Header.Set(HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	s.Logf("client sends %s %s %s to %s", method, path, a.ID, n.Name)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		a.Err = err
		s.Logf("client gets no answer to %s: %v", a.ID, err)
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err = resp.StatusCode, resp.Header.Get(HeaderSeal), string(b), err
	s.Logf("client gets %d to %s, seal %q, %d bytes, error %v", a.Status, a.ID, a.Seal, len(b), err)
	return a
}
