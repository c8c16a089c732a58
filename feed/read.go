package feed

import "time"

// Read describes a read of the followed table that brought rows.
type Read struct {
	Version  int64
	Rows     int
	Complete bool // all rows of the table were read, not only changes
	// StoreTime is the time of the response on the store's clock, the same for all nodes, or 0 if
	// the store does not state it.
	StoreTime time.Duration
	Elapsed   time.Duration // since the call was sent
	Age       time.Duration // of what the follower knew when the call was sent; 0 before it knew anything
	ApplyTime time.Duration // from the response until the rows were passed on
}
