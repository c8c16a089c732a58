package transport

import (
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status of a final response (RFC 9110, section 15). A response of the
	// class below is no final one, as no request asks for another protocol.
	minStatus = 200
	maxStatus = 599
)

// CheckResponse returns an error if the head of a response is not one by RFC 9112, although net/http accepts it: its
// status is not that of a final response, or the name or value of a field has bytes that it may not have. Its body is
// not known then either, as a field that frames it may be among these.
func CheckResponse(resp *http.Response) error {
	const op = "check"
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &Error{Op: op, Kind: Malformed, Err: errors.New("the status is " + strconv.Itoa(resp.StatusCode))}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Op: op, Kind: Malformed, Err: errors.New("the name of a field is " + strconv.Quote(name))}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &Error{Op: op, Kind: Malformed, Err: errors.New("the value of " + name + " is " + strconv.Quote(v))}
			}
		}
	}
	return nil
}

// Checked is a transport that fails what is not a whole response; see [CheckResponse] and [Conn].
type Checked struct {
	base *http.Transport
}

// NewChecked returns a transport that checks the responses to the requests of another one, which must not be used
// by itself any more.
func NewChecked(base *http.Transport) *Checked {
	base.DialContext = DialChecked(base.DialContext)
	return &Checked{base}
}

// NewClient returns a client with a transport of its own that checks responses.
func NewClient() *http.Client {
	return &http.Client{Transport: NewChecked(http.DefaultTransport.(*http.Transport).Clone())}
}

// DefaultClient is the client of those that are given none.
var DefaultClient = NewClient()

// RoundTrip implements http.RoundTripper. The connection of a response that fails its check is closed.
func (c *Checked) RoundTrip(r *http.Request) (*http.Response, error) {
	var closeConn func() error
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { closeConn = info.Conn.Close }}
	resp, err := c.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = closeConn() // fails only if it is closed already
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request; see [http.Client.CloseIdleConnections].
func (c *Checked) CloseIdleConnections() { c.base.CloseIdleConnections() }
