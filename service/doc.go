// Package service speaks to plain services and keeps calls that must not
// repeat from running twice.
//
// A call with an idempotency key is entered in the platform's table before it
// is sent, and its outcome after. A second attempt, on whatever node, gets the
// recorded answer, or waits for it, or learns that the call may have run; it
// never sends the call again. Many entries share one transaction.
//
// # Usage
//
//	l := &service.Ledger{Table: tbl, Objects: obj}
//	defer l.Close()
//	ans, err := l.Do(ctx, service.Call{Caller: "counter", Key: "order-17", Body: body}, send)
//
// # Not covered
//
// A node that dies between the entry and the send leaves a call that did not
// run but is reported as unknown for ever: nobody can prove the difference.
// Old entries are not removed.
package service
