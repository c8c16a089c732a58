package object

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	requestTimeout = 5 * time.Second
	maxObjectBytes = 64 << 20
)

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	NotFound    ErrorKind = "not-found"
	Unavailable ErrorKind = "unavailable" // the request failed; a put may have been applied
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Key  string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "object: " + e.Op + ": " + string(e.Kind) + ": " + e.Key
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is a client of the object store. It is safe for concurrent use.
type Client struct {
	URL  string
	HTTP *http.Client // nil means transport.DefaultClient
}

// Put stores an object under a key, replacing any previous object.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	req, err := sling.New().Base(c.URL).Put("/v1/objects/" + key).Body(bytes.NewReader(value)).Request()
	if err != nil {
		return &Error{Op: "put", Kind: Unavailable, Key: key, Err: err}
	}
	_, err = c.do(ctx, "put", key, req)
	return err
}

// Get returns the object, or an error of kind [NotFound].
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	req, err := sling.New().Base(c.URL).Get("/v1/objects/" + key).Request()
	if err != nil {
		return nil, &Error{Op: "get", Kind: Unavailable, Key: key, Err: err}
	}
	return c.do(ctx, "get", key, req)
}

func (c *Client) do(ctx context.Context, op, key string, req *http.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	hc := c.HTTP
	if hc == nil {
		hc = transport.DefaultClient
	}
	resp, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		return nil, &Error{Op: op, Kind: Unavailable, Key: key, Err: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, &Error{Op: op, Kind: NotFound, Key: key}
	default:
		return nil, &Error{Op: op, Kind: Unavailable, Key: key, Err: errors.Errorf("the object store responded with status %d", resp.StatusCode)}
	}
	b, err := transport.ReadBody(resp.Body, maxObjectBytes)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unavailable, Key: key, Err: err}
	}
	return b, nil
}
