package peer

// ErrorKind classifies an [Error].
type ErrorKind string

// The kinds of error that this package returns.
const (
	StaleToken ErrorKind = "stale" // a higher fencing token was seen for the engine
	Revoked    ErrorKind = "taken" // the grant was revoked or ended before it was used
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
