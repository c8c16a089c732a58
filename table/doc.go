// Package table is a client of the platform's transactional table service. It
// also defines the rows that sessions (leases) and engine ownership are stored in,
// and the rules by which leases are valid and expire.
//
// The service stores rows of bytes. Each write increases a row's version. A [Tx]
// is applied only if all rows named by its checks have the given versions;
// version 0 means that the row does not exist.
//
// # Usage
//
//	c := &table.Client{URL: "http://127.0.0.1:7001"}
//	version, err := c.Commit(ctx, table.Tx{
//		Checks: []table.Check{{Key: "session/n1", Version: 0}},
//		Puts:   []table.Put{{Key: "session/n1", Value: row}},
//	})
//	if table.IsKind(err, table.Unknown) {
//		// The transaction may have been applied: read the rows to find out.
//	}
//
// [Lease] is the holder's side of a session. [SessionMonitor] is the side of the
// nodes that may take over. Both get the current time as an argument.
//
// # Not covered
//
// The package does not retry transactions whose outcome is unknown.
package table
