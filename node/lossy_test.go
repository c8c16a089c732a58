package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/table"
)

// lossyTable is a client of the store that can lose the response to one transaction, and
// then fail all calls, or only those that read all ownership rows.
type lossyTable struct {
	store       *platform.StoreClient
	losing      atomic.Bool
	applied     chan bool // the transaction whose response is lost was applied
	hidesOwners atomic.Bool
}

func newLossyTable(store *platform.StoreClient) *lossyTable {
	return &lossyTable{store: store, applied: make(chan bool, 1)}
}

// storeTimeout ends calls to a store that is cut off, as the daemon's client does.
const storeTimeout = time.Second

// Read implements the Read function of [table.Client].
func (l *lossyTable) Read(ctx context.Context, q table.Query) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if l.losing.Load() || l.hidesOwners.Load() && q.Prefix == table.OwnerPrefix {
		return nil, &table.Error{Op: "read", Kind: table.Unavailable}
	}
	return l.store.Read(ctx, q)
}

// Apply implements the Apply function of [table.Client].
func (l *lossyTable) Apply(ctx context.Context, tx table.Tx) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !l.losing.Load() {
		return l.store.Apply(ctx, tx)
	}
	if len(l.applied) > 0 {
		return 0, &table.Error{Op: "commit", Kind: table.Unavailable}
	}
	_, _ = l.store.Apply(ctx, tx) // its response is lost
	l.applied <- true
	return 0, &table.Error{Op: "commit", Kind: table.Unknown}
}
