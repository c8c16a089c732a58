// Package quota decides what client accounts may use over all nodes. It does no I/O and starts no
// goroutine; it takes the time and events, and returns decisions.
//
// Each account has one keeper, the node that coordinates its leases. A [Keeper] has the token
// bucket of the account. A node's [Lease] holds what the node may spend of the account without
// asking, how much it should ask for, and until when it refuses requests without asking. A node that
// gets no answer from the keeper spends its own share of the quota instead. [Rule] derives the
// durations from the bound that must hold in every window, as the package's tests check it.
//
// # Loads
//
// The decisions answer two loads. Large accounts (435,000 tokens per second) arrive at all of 75
// nodes, with 5 to 7 times the quota at times: a lease covers the demand of most of a lease time, so a
// node asks about once per lease time, and what is scarce is given in turn to the nodes that asked,
// each with a time at which its part is available. Small accounts arrive with a request each few
// seconds and node: each request is an ask of its own.
//
// # Usage
//
//	l := quota.NewLease(rule)
//	l.Arrive(now, cost)
//	switch d := l.Take(now, cost); d.Verdict {
//	case quota.Ask:
//		ask := l.NewAsk(now, cost) // send it to the keeper
//		answer := keeper.Ask(now, "node", ask)
//		l.Answered(sent, now, answer) // or l.Unanswered(now), then take again
//	case quota.Refused:
//		// answer with d.RetryAfter
//	}
//
// # Own shares of large accounts
//
// All own shares together are half of the quota. Beside the leases of a keeper that only some of the
// nodes cannot reach, this would exceed the bound for large accounts. So the keeper reserves the own
// share of each node that it has not heard from for [Rule.ContactTime] and that has not promised to
// leave it unused; see [Keeper.Silent]. Accounts for which two keepers and all own shares together
// stay within the bound are exempt; see [Rule.IsSmall].
//
// # Not covered
//
// Which node is the keeper, and the messages, are up to package node. A Lease and a Keeper are not
// safe for concurrent use.
package quota
