package membership

// maxWitnesses is the number of witnesses of one node, if there are that many members.
const maxWitnesses = 5

// promisesNeeded returns how many of n witnesses must promise before a session may be
// ended. Two are few enough that an owner which ends together with most of its witnesses
// can be replaced.
func promisesNeeded(n int) int {
	if n < 3 {
		return min(n, 1)
	}
	return 2
}

// consentsNeeded returns how many of n witnesses must agree to an extension of a lease,
// so that fewer than promisesNeeded are left. With five witnesses, one may be
// unreachable.
func consentsNeeded(n int) int { return n - promisesNeeded(n) + 1 }
