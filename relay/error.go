package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrorKind classifies an [Error]. It is the "type" of the JSON error sent to
// callers.
type ErrorKind string

// The kinds of error sent to callers.
const (
	BadRequest         ErrorKind = "bad-request"                   // the request header or body cannot be read
	BodyTooLarge       ErrorKind = "body-too-large"                // the body exceeds the configured limit
	BodyTimedOut       ErrorKind = "body-timeout"                  // the body did not end before the deadline; not run
	NoRoute            ErrorKind = "no-such-route"                 // no route of the host matches the path
	Unauthorized       ErrorKind = "unauthorized"                  // the key authenticates no client account
	OverQuota          ErrorKind = "over-quota"                    // the client account has used up its quota; not run
	OutOfMemoryBudget  ErrorKind = "out-of-memory-budget"          // clients make the node hold as much as they may; not run
	NotReady           ErrorKind = "not-ready"                     // the node has no configuration yet, or is shutting down
	Busy               ErrorKind = "busy"                          // no server can take the request in time; not run
	NoServer           ErrorKind = "no-server"                     // the pool has no server; not run
	PromptQuarantined  ErrorKind = "prompt-quarantined"            // prompts with some of its parts crash engines; not run
	RequestQuarantined ErrorKind = "request-quarantined"           // it crashes the servers that run it; not run
	CannotResume       ErrorKind = "cannot-resume"                 // no server can go on with the stream; not run
	ExpiredUnsent      ErrorKind = "deadline"                      // the deadline passed before the request was sent; not run
	TimedOut           ErrorKind = "timeout"                       // the deadline passed after the request was sent
	ServerFailed       ErrorKind = "server-failed"                 // the server failed the request, which may have run
	StreamInterrupted  ErrorKind = "stream-cut"                    // the stream was interrupted after its first event
	ResponseOverBudget ErrorKind = "response-out-of-memory-budget" // the node cannot hold the response; the request has run
	CallerDisconnected ErrorKind = "caller-went-away"              // the caller closed its connection
)

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       ErrorKind
	Reason     string
	RetryAfter time.Duration // zero if a retry would not help
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

// isKind reports whether err is an [Error] of the given kind.
func isKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Status returns the HTTP status of the response.
func (e *Error) Status() int {
	switch e.Kind {
	case BadRequest:
		return http.StatusBadRequest
	case BodyTimedOut:
		return http.StatusRequestTimeout
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case NoRoute:
		return http.StatusNotFound
	case Unauthorized:
		return http.StatusUnauthorized
	case OverQuota:
		return http.StatusTooManyRequests
	case NotReady, OutOfMemoryBudget, Busy, NoServer, ExpiredUnsent, PromptQuarantined, RequestQuarantined, CannotResume:
		return http.StatusServiceUnavailable
	case TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// NotRun reports whether the response guarantees that the request has not run.
func (e *Error) NotRun() bool {
	switch e.Status() {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	}
	return false
}

// retryAfter formats RetryAfter in seconds, with three decimals.
func (e *Error) retryAfter() string { return strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64) }
