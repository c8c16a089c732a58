package relay

import (
	"net/http"
	"strconv"
	"time"
)

// ErrorKind classifies an [Error]; it is the "type" of the JSON error that a
// caller sees.
type ErrorKind string

// The kinds of error that a caller sees.
const (
	BadRequest    ErrorKind = "bad-request"      // the head or the body cannot be read
	BodyTooLarge  ErrorKind = "body-too-large"   // the body is over the configured limit
	NoRoute       ErrorKind = "no-such-route"    // no route of the host begins the path
	NotReady      ErrorKind = "not-ready"        // the node has no configuration yet
	Busy          ErrorKind = "busy"             // no server can take it in time; not run
	NoServer      ErrorKind = "no-server"        // the pool has no server; not run
	ExpiredUnsent ErrorKind = "deadline"         // the time ran out before it was sent; not run
	TimedOut      ErrorKind = "timeout"          // the time ran out after it was sent
	ServerFailed  ErrorKind = "server-failed"    // a server broke off, and the request may have run
	StreamCut     ErrorKind = "stream-cut"       // a stream ended before its end
	CallerGone    ErrorKind = "caller-went-away" // nobody reads the answer
)

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       ErrorKind
	Reason     string
	RetryAfter time.Duration // zero when coming back would not help
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "relay: " + e.Op + ": " + string(e.Kind) + ": " + e.Reason
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status returns the HTTP status of the answer.
func (e *Error) Status() int {
	switch e.Kind {
	case BadRequest:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case NoRoute:
		return http.StatusNotFound
	case NotReady, Busy, NoServer, ExpiredUnsent:
		return http.StatusServiceUnavailable
	case TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// NotRun reports whether the answer promises that the request has not run.
func (e *Error) NotRun() bool { return e.Status() == http.StatusServiceUnavailable }

// retryAfter writes the time with fractions, in seconds.
func (e *Error) retryAfter() string { return strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64) }
