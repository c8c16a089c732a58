// Package service sends calls to plain services and runs each call with an
// idempotency key at most once.
//
// The ledger writes such a call to the platform's table before the call is sent, and
// its outcome afterwards. A second attempt, on any node, waits for the first one and
// returns the recorded response, or reports that the call may have run. It sends the
// call again only if the first attempt provably never sent it. The entries of
// concurrent calls share transactions.
//
// # Usage
//
//	l := &service.Ledger{Table: tbl, Objects: obj}
//	defer l.Close()
//	resp, err := l.Do(ctx, service.Call{Caller: "counter", Key: "order-17", Body: body}, send)
//
// # Not covered
//
// A node that crashes after writing the entry and before sending the call leaves a
// call that never ran; later attempts report its outcome as unknown for ever, since
// nothing proves that it was not sent. Old entries are not removed.
package service
