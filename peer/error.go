package peer

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	Stale   ErrorKind = "stale" // the grant is older than the owner that this node has heard of
	Revoked ErrorKind = "taken" // the grant was given back while it was on its way
)

// Error is the error type of this package.
type Error struct {
	Op        string
	Kind      ErrorKind
	Engine    string
	RequestID string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "peer: " + e.Op + ": " + string(e.Kind) + ": engine " + e.Engine + ", request " + e.RequestID
}
