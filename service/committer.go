package service

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

const (
	batchWindow  = 2 * time.Millisecond
	maxBatchRows = 64
)

// committer writes the rows of independent calls in shared transactions. The zero
// value is ready to use once table is set.
type committer struct {
	table *table.Client

	mu      sync.Mutex
	pending []*rowWrite
	wg      sync.WaitGroup
}

// rowWrite is a pending conditional write of one row.
type rowWrite struct {
	check table.Check
	value []byte
	done  chan error // receives the result once
	ver   int64      // new version; valid after done
}

// put writes one row in the next transaction and returns the row's new version.
func (c *committer) put(check table.Check, value []byte) (int64, error) {
	w := &rowWrite{check: check, value: value, done: make(chan error, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, w)
	if len(c.pending) == 1 {
		c.wg.Go(c.flush)
	}
	c.mu.Unlock()
	err := <-w.done
	return w.ver, err
}

// flush waits for further writes to join the batch, then commits what is pending.
func (c *committer) flush() {
	time.Sleep(batchWindow)
	c.mu.Lock()
	writes := c.pending
	c.pending = nil
	c.mu.Unlock()
	for len(writes) > 0 {
		n := min(len(writes), maxBatchRows)
		c.commit(writes[:n])
		writes = writes[n:]
	}
}

// commit writes rows in one transaction, or in several if some write the same row. A row
// whose check conflicts fails alone; the others are retried without it.
func (c *committer) commit(writes []*rowWrite) {
	for len(writes) > 0 {
		var tx table.Tx
		keys := make(map[string]bool, len(writes))
		var deferred []*rowWrite
		batch := writes[:0:0]
		for _, w := range writes {
			if keys[w.check.Key] {
				deferred = append(deferred, w) // a transaction may write a row only once
				continue
			}
			keys[w.check.Key] = true
			batch = append(batch, w)
			tx.Checks = append(tx.Checks, w.check)
			tx.Puts = append(tx.Puts, table.Put{Key: w.check.Key, Value: w.value})
		}
		ver, err := c.table.Commit(context.Background(), tx)
		if table.IsKind(err, table.Conflict) {
			batch = failConflicting(batch, err)
			writes = append(batch, deferred...)
			continue
		}
		for _, w := range batch {
			w.ver = ver
			w.done <- err
		}
		writes = deferred
	}
}

// failConflicting fails the writes to the row that err names, and returns the others.
func failConflicting(writes []*rowWrite, err error) []*rowWrite {
	others := writes[:0:0]
	for _, w := range writes {
		if te, ok := err.(*table.Error); ok && te.Key == w.check.Key {
			w.done <- err
			continue
		}
		others = append(others, w)
	}
	return others
}

func (c *committer) close() { c.wg.Wait() }
