package service

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/object"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	maxInlineBodyBytes  = 4 << 10 // larger bodies go to the object store
	minPollInterval     = 10 * time.Millisecond
	maxPollInterval     = 500 * time.Millisecond
	maxRecordRetries    = 20
	recordRetryInterval = 250 * time.Millisecond
)

// SendFunc sends a call. An error of kind [NotRun] means that the call was provably
// never sent; after any other error it may have run.
type SendFunc func(ctx context.Context, c Call) (Response, error)

// Ledger runs calls at most once per caller and idempotency key. Its exported fields
// must be set before the first use.
type Ledger struct {
	Table   *table.Client
	Objects *object.Client

	once    sync.Once
	commits committer
	wg      sync.WaitGroup
}

// Close waits until every pending outcome is recorded or its retries are exhausted.
func (l *Ledger) Close() {
	l.wg.Wait()
	l.commits.close()
}

// Do runs the call, or returns the response that an earlier attempt recorded.
func (l *Ledger) Do(ctx context.Context, c Call, send SendFunc) (Response, error) {
	l.once.Do(func() { l.commits.table = l.Table })
	ver, prior, err := l.begin(ctx, c)
	if err != nil {
		return Response{}, err
	}
	if prior != nil {
		return l.replay(ctx, c, *prior)
	}
	return l.execute(ctx, c, ver, send)
}

// begin writes the call's entry. It returns the entry's version if this attempt may
// send the call, or the entry of an earlier attempt that has ended. It waits for an
// earlier attempt that is in progress.
func (l *Ledger) begin(ctx context.Context, c Call) (ver int64, prior *entry, err error) {
	interval := minPollInterval
	for {
		ver, prior, err = l.tryBegin(ctx, c)
		if err != nil || prior != nil || ver != 0 {
			return ver, prior, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, &Error{Op: "wait", Kind: Unknown, Key: c.Key, Err: errors.New("an earlier attempt is still in progress; the call may have run")}
		case <-time.After(interval):
			interval = min(2*interval, maxPollInterval)
		}
	}
}

// tryBegin makes one try of begin. A zero version with neither a prior entry nor an
// error means that begin should wait and try again.
func (l *Ledger) tryBegin(ctx context.Context, c Call) (ver int64, prior *entry, err error) {
	fresh := entry{Attempt: c.Attempt, Hash: c.hash(), State: stateStarted}
	row, err := l.Table.Get(ctx, c.rowKey())
	switch {
	case table.IsKind(err, table.NotFound):
		return l.putEntry(table.Check{Key: c.rowKey()}, fresh, c)
	case err != nil:
		return 0, nil, &Error{Op: "begin", Kind: NotRun, Key: c.Key, Err: err}
	}
	e, err := decodeEntry(row)
	if err != nil {
		return 0, nil, err
	}
	switch {
	case e.Hash != fresh.Hash:
		return 0, nil, &Error{Op: "begin", Kind: Conflict, Key: c.Key, Err: errors.New("the idempotency key was used with a different call")}
	case e.State == stateStarted && e.Attempt == c.Attempt:
		return row.Version, nil, nil // this attempt's own entry, whose write was not acknowledged
	case e.State == stateStarted:
		return 0, nil, nil
	case e.State == stateNotRun:
		return l.putEntry(table.Check{Key: c.rowKey(), Version: row.Version}, fresh, c)
	}
	return 0, &e, nil
}

// putEntry writes the entry of an attempt that is about to send the call.
func (l *Ledger) putEntry(check table.Check, e entry, c Call) (int64, *entry, error) {
	ver, err := l.commits.put(check, e.encode())
	switch {
	case err == nil:
		return ver, nil, nil
	case table.IsKind(err, table.Conflict), table.IsKind(err, table.Unknown):
		return 0, nil, nil // the next try reads the row and decides anew
	}
	return 0, nil, &Error{Op: "begin", Kind: NotRun, Key: c.Key, Err: err}
}

func (l *Ledger) execute(ctx context.Context, c Call, ver int64, send SendFunc) (Response, error) {
	if err := ctx.Err(); err != nil {
		l.recordOutcome(c, ver, entry{State: stateNotRun})
		return Response{}, &Error{Op: "send", Kind: NotRun, Key: c.Key, Err: err}
	}
	resp, err := send(ctx, c)
	switch {
	case err == nil:
		l.recordOutcome(c, ver, entry{State: stateCompleted, Response: &resp})
	case IsKind(err, NotRun):
		l.recordOutcome(c, ver, entry{State: stateNotRun})
	default:
		l.recordOutcome(c, ver, entry{State: stateUnknown})
	}
	return resp, err
}

// recordOutcome writes the outcome to the ledger. Only the first try blocks; retries run
// in the background, so that the caller does not wait while the table is unavailable.
func (l *Ledger) recordOutcome(c Call, ver int64, e entry) {
	e.Attempt, e.Hash = c.Attempt, c.hash()
	if l.tryRecordOutcome(c, ver, e) {
		return
	}
	l.wg.Go(func() {
		for range maxRecordRetries {
			time.Sleep(recordRetryInterval)
			if l.tryRecordOutcome(c, ver, e) {
				return
			}
		}
	})
}

// tryRecordOutcome reports whether recording is complete. A conflict counts as
// complete, since only an earlier try for the same outcome can have changed the row
// since ver.
func (l *Ledger) tryRecordOutcome(c Call, ver int64, e entry) bool {
	if e.Response != nil && len(e.Response.Body) > maxInlineBodyBytes {
		key := "call/" + c.Attempt
		if err := l.Objects.Put(context.Background(), key, e.Response.Body); err != nil {
			return false
		}
		withoutBody := *e.Response
		withoutBody.Body = nil
		e.Response, e.Object = &withoutBody, key
	}
	_, err := l.commits.put(table.Check{Key: c.rowKey(), Version: ver}, e.encode())
	return err == nil || table.IsKind(err, table.Conflict)
}

// replay returns the recorded response of an earlier attempt.
func (l *Ledger) replay(ctx context.Context, c Call, e entry) (Response, error) {
	if e.State != stateCompleted {
		return Response{}, &Error{Op: "repeat", Kind: Unknown, Key: c.Key, Err: errors.New("an earlier attempt ended with an unknown outcome; the call may have run")}
	}
	resp := *e.Response
	if e.Object != "" {
		body, err := l.Objects.Get(ctx, e.Object)
		if err != nil {
			return Response{}, &Error{Op: "repeat", Kind: Unknown, Key: c.Key, Err: err}
		}
		resp.Body = body
	}
	resp.Replayed = true
	return resp, nil
}
