package caller

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
	BadKey              ErrorKind = "bad-key"
	BadRequest          ErrorKind = "bad-request"
	BodyTooLarge        ErrorKind = "body-too-large"
	NoSuchModel         ErrorKind = "no-such-model"
	NoSuchPath          ErrorKind = "no-such-path"
	NoSuchService       ErrorKind = "no-such-service"
	NotReady            ErrorKind = "not-ready"
	RateLimit           ErrorKind = "rate-limit"
	ConcurrencyLimit    ErrorKind = "concurrency-limit"
	Busy                ErrorKind = "busy"
	DeadlineExceeded    ErrorKind = "deadline"
	NoCapacity          ErrorKind = "no-capacity"
	Incomplete          ErrorKind = "incomplete"
	IdempotencyConflict ErrorKind = "idempotency-conflict"
	StoreUnavailable    ErrorKind = "store-unavailable"
	UnknownOutcome      ErrorKind = "outcome-unknown"
	EngineFailed        ErrorKind = "engine-failed"
)

// Outcome tells what became of a request.
type Outcome string

// The outcomes of a request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       ErrorKind
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // zero when coming back would not help
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "caller: " + e.Op + ": " + string(e.Kind) + ": " + e.Reason
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refusal(op string, kind ErrorKind, reason string) *Error {
	return &Error{Op: op, Kind: kind, Outcome: NotRun, Reason: reason}
}

// Status returns the HTTP status of the answer.
func (e *Error) Status() int {
	switch e.Kind {
	case BadKey:
		return http.StatusUnauthorized
	case BadRequest:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case NoSuchModel, NoSuchPath, NoSuchService:
		return http.StatusNotFound
	case RateLimit, ConcurrencyLimit, Busy, DeadlineExceeded:
		return http.StatusTooManyRequests
	case IdempotencyConflict:
		return http.StatusConflict
	case UnknownOutcome, Incomplete:
		return http.StatusGatewayTimeout
	case EngineFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds rounds up, since a caller that comes back early is
// refused again.
func (e *Error) retryAfterSeconds() string {
	return strconv.Itoa(int((e.RetryAfter + time.Second - 1) / time.Second))
}
