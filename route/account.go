package route

// Account is a client account. Its callers authenticate with one of its keys, which an
// Account does not contain, so that it can be logged.
type Account struct {
	Name        string
	Priority    int  // 0 is the highest; it goes before the priority of the route
	HasPriority bool // otherwise only the priority of the route counts
	Quota       Quota
}

// AccountKeys is an account with the keys that authenticate its callers.
type AccountKeys struct {
	Account Account
	Keys    []string
}

// maxRoutePriority bounds what the priority of a route adds to that of an account,
// accountPriorityStep is the distance between two priorities of accounts, and lowestPriority is the
// last of the priorities that model engines accept.
const (
	maxRoutePriority    = 2
	accountPriorityStep = maxRoutePriority + 1
	lowestPriority      = 9
)

// PriorityOf returns the priority of a request to a route by an account, where 0 is the highest.
// Requests are ordered by the account's priority, then by the route's. a is nil without an
// account.
func PriorityOf(r *Route, a *Account) int {
	if a == nil || !a.HasPriority {
		return r.Priority
	}
	ofAccount := min(max(0, a.Priority), lowestPriority) // a larger one would overflow
	return min(ofAccount*accountPriorityStep+min(max(0, r.Priority), maxRoutePriority), lowestPriority)
}
