package quota

import "time"

// AskFor is what a node asks the keeper of an account for.
type AskFor struct {
	Needed float64 // cost of the request at hand; 0 in an ask ahead of demand
	Extra  float64 // what the node wants beyond it, for its recent demand
	// Returned is what is left of expired leases of the keeper's term Term, and what was
	// charged there for requests that did not run.
	Returned float64
	Term     string
	OwnUsed  float64 // used of the own share since the last answered ask
	// UsesOwnShare is set while the node may use its own share, since the last ask was not
	// answered.
	UsesOwnShare bool
}

// Answer is the keeper's answer.
type Answer struct {
	Term   string
	Amount float64 // 0 if too little is available
	Valid  time.Duration
	// RetryAfter is when the amount is available that was needed. Until then, the keeper
	// grants nothing to requests that cost RefuseFrom or more.
	RetryAfter time.Duration
	RefuseFrom float64
	// IsWaiting is set if the keeper grants nothing now. Nodes then use their own shares.
	IsWaiting bool
}
