package engine

import "github.com/juju/errors"

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	NotSent        ErrorKind = "not-sent"        // the request never reached the engine
	Refused        ErrorKind = "refused"         // the engine answered that it did not run the request
	AdapterMissing ErrorKind = "adapter-missing" // the engine does not hold the adapter; not run
	Fenced         ErrorKind = "fenced"          // the engine has seen a higher fencing token
	NoFreeSlot     ErrorKind = "full"            // the engine has no free slot
	WrongResponse  ErrorKind = "wrong-answer"    // the answer names another adapter or request
	Incomplete     ErrorKind = "incomplete"      // the stream ended before its end marker
	Failed         ErrorKind = "broken"          // the call failed after it was sent
	BadRequest     ErrorKind = "bad-request"     // the engine refuses the body as malformed; not run
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	Engine string
	Status int // HTTP status, if there was one
	Err    error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "engine: " + e.Op + ": " + string(e.Kind)
	if e.Engine != "" {
		s += ": " + e.Engine
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an [Error] of one of the given kinds.
func IsKind(err error, kinds ...ErrorKind) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	for _, k := range kinds {
		if e.Kind == k {
			return true
		}
	}
	return false
}

// NotRun reports whether the error proves that the engine did not run the
// request.
func NotRun(err error) bool {
	return IsKind(err, NotSent, Refused, AdapterMissing, BadRequest)
}
