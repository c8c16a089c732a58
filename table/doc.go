// Package table speaks to the platform's transactional table service and
// holds the rules for sessions (leases) and engine ownership that are kept
// there.
//
// The service stores rows of bytes, each with a version that grows with every
// write. A [Tx] is all-or-nothing: its checks name the versions that rows must
// have, version 0 standing for a row that does not exist.
//
// # Usage
//
//	c := &table.Client{URL: "http://127.0.0.1:7001"}
//	err := c.Commit(ctx, table.Tx{
//		Checks: []table.Check{{Key: "session/n1", Version: 0}},
//		Puts:   []table.Put{{Key: "session/n1", Value: row}},
//	})
//	if table.IsKind(err, table.Unknown) {
//		// The transaction may have been applied: read back before going on.
//	}
//
// [Lease] is the holder's side of a session and [Watch] the taker's side.
// Neither reads a clock: both take the present time as an argument.
//
// # Not covered
//
// The package never retries a transaction whose outcome is unknown.
package table
