package node

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	Invalid         ErrorKind = "invalid"     // the configuration is invalid
	ShutdownTimeout ErrorKind = "cut-short"   // the shutdown timed out with requests in flight
	Unreachable     ErrorKind = "unreachable" // the other node does not respond
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	Reason string
}

// Error implements the error interface.
func (e *Error) Error() string { return "node: " + e.Op + ": " + string(e.Kind) + ": " + e.Reason }
