package service

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const maxAnswerBytes = 16 << 20

// Client sends calls to the replicas of plain services. Set the fields before
// the first use.
type Client struct {
	// AtMostOnce sends calls that must not repeat. Its transport must not reuse
	// connections: net/http sends a request again when a reused connection
	// breaks, if it carries an Idempotency-Key or has no body.
	AtMostOnce *http.Client
	// Repeatable sends calls that may be repeated.
	Repeatable *http.Client
}

// NewClient returns a client with transports of its own.
func NewClient() *Client {
	once := http.DefaultTransport.(*http.Transport).Clone()
	once.DisableKeepAlives = true
	return &Client{
		AtMostOnce: &http.Client{Transport: once, CheckRedirect: noRedirect},
		Repeatable: &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone(), CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// SendFunc sends a call to the first address that can be reached. A call that may
// be repeated goes on to the next address after any failure; any other only
// when the failure proves that nothing was sent.
func (c *Client) Send(ctx context.Context, addresses []string, repeatable bool, call Call) (Response, error) {
	var last error = &Error{Op: "send", Kind: NotRun, Err: errors.New("no address")}
	sent := false
	for _, address := range addresses {
		ans, err := c.sendTo(ctx, address, repeatable, call)
		if err == nil {
			return ans, nil
		}
		sent = sent || !IsKind(err, NotRun)
		last = err
		if sent && !repeatable {
			break
		}
	}
	if sent && IsKind(last, NotRun) {
		last = &Error{Op: "send", Kind: Unknown, Err: last}
	}
	return Response{}, last
}

func (c *Client) sendTo(ctx context.Context, address string, repeatable bool, call Call) (Response, error) {
	const op = "send"
	s := sling.New().Base("http://" + address).Path(call.Path).Body(bytes.NewReader(call.Body))
	if call.ContentType != "" {
		s.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		s.Set("Idempotency-Key", call.Key)
	}
	req, err := s.Request()
	if err != nil {
		return Response{}, &Error{Op: op, Kind: NotRun, Err: err}
	}
	req.Method = call.Method
	hc := c.AtMostOnce
	if repeatable {
		hc = c.Repeatable
	}
	resp, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: sendKind(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		// The call was sent, and nothing proves that no part of it ran.
		return Response{}, &Error{Op: op, Kind: Unknown, Err: errors.New("the service answered 503")}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return Response{}, &Error{Op: op, Kind: Unknown, Err: err}
	case len(body) > maxAnswerBytes:
		return Response{}, &Error{Op: op, Kind: Unknown, Err: errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)}
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func sendKind(err error) ErrorKind {
	if transport.IsDialError(err) {
		return NotRun
	}
	return Unknown
}
