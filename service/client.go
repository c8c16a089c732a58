package service

import (
	"bytes"
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const maxResponseBytes = 16 << 20

// Client sends calls to the replicas of plain services. Its fields must be set before
// the first use.
type Client struct {
	// AtMostOnce sends calls that must not be retried. Its transport must not reuse
	// connections: when a reused connection breaks, net/http resends a request that
	// carries an Idempotency-Key or has no body.
	AtMostOnce *http.Client
	// Repeatable sends calls that may be retried.
	Repeatable *http.Client
}

// NewClient returns a client that shares no connections with other clients.
func NewClient() *Client {
	atMostOnce := http.DefaultTransport.(*http.Transport).Clone()
	atMostOnce.DisableKeepAlives = true
	return &Client{
		AtMostOnce: &http.Client{Transport: transport.NewChecked(atMostOnce), CheckRedirect: noRedirect},
		Repeatable: &http.Client{Transport: transport.NewChecked(http.DefaultTransport.(*http.Transport).Clone()), CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends a call to the first reachable address. After a failure it tries the next
// address if the call is repeatable or the failure proves that nothing was sent.
func (c *Client) Send(ctx context.Context, addresses []string, repeatable bool, call Call) (Response, error) {
	var lastErr error = &Error{Op: "send", Kind: NotRun, Err: errors.New("the service has no address")}
	sent := false
	for _, address := range addresses {
		resp, err := c.sendTo(ctx, address, repeatable, call)
		if err == nil {
			return resp, nil
		}
		sent = sent || !IsKind(err, NotRun)
		lastErr = err
		if sent && !repeatable {
			break
		}
	}
	if sent && IsKind(lastErr, NotRun) {
		lastErr = &Error{Op: "send", Kind: Unknown, Err: lastErr}
	}
	return Response{}, lastErr
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
		// The call was sent, and a 503 does not prove that no part of it ran.
		return Response{}, &Error{Op: op, Kind: Unknown, Err: errors.New("the service responded with status 503")}
	}
	body, err := transport.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return Response{}, &Error{Op: op, Kind: Unknown, Err: err}
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func sendKind(err error) ErrorKind {
	if transport.IsDialError(err) {
		return NotRun
	}
	return Unknown
}
