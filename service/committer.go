package service

import (
	"context"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

const (
	commitWindow = 2 * time.Millisecond
	maxGroup     = 64
)

// committer writes rows of independent calls in shared transactions. The zero
// value works once table is set.
type committer struct {
	table *table.Client

	mu      sync.Mutex
	pending []*write
	wg      sync.WaitGroup
}

// write is one row with the version that it must have.
type write struct {
	check table.Check
	value []byte
	done  chan error
	ver   int64
}

// put writes one row and returns its new version.
func (c *committer) put(check table.Check, value []byte) (int64, error) {
	w := &write{check: check, value: value, done: make(chan error, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, w)
	if len(c.pending) == 1 {
		c.wg.Go(c.flush)
	}
	c.mu.Unlock()
	err := <-w.done
	return w.ver, err
}

func (c *committer) flush() {
	time.Sleep(commitWindow)
	c.mu.Lock()
	group := c.pending
	c.pending = nil
	c.mu.Unlock()
	for len(group) > 0 {
		n := min(len(group), maxGroup)
		c.commit(group[:n])
		group = group[n:]
	}
}

// commit writes a group. A row whose check fails leaves the group, and the
// rest is tried again.
func (c *committer) commit(group []*write) {
	for len(group) > 0 {
		var tx table.Tx
		keys := make(map[string]bool, len(group))
		var again []*write
		batch := group[:0:0]
		for _, w := range group {
			if keys[w.check.Key] {
				again = append(again, w) // one transaction writes a row once
				continue
			}
			keys[w.check.Key] = true
			batch = append(batch, w)
			tx.Checks = append(tx.Checks, w.check)
			tx.Puts = append(tx.Puts, table.Put{Key: w.check.Key, Value: w.value})
		}
		ver, err := c.table.Commit(context.Background(), tx)
		if table.IsKind(err, table.Conflict) {
			batch = dropConflict(batch, err)
			group = append(batch, again...)
			continue
		}
		for _, w := range batch {
			w.ver = ver
			w.done <- err
		}
		group = again
	}
}

func dropConflict(group []*write, err error) []*write {
	rest := group[:0:0]
	for _, w := range group {
		if te, ok := err.(*table.Error); ok && te.Key == w.check.Key {
			w.done <- err
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func (c *committer) close() { c.wg.Wait() }
