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
	maxInlineBody = 4 << 10
	pollFirst     = 10 * time.Millisecond
	pollMax       = 500 * time.Millisecond
	recordTries   = 20
	recordPause   = 250 * time.Millisecond
)

// SendFunc sends a call. An error of kind [NotRun] says that it was provably
// never sent; any other error means that it may have run.
type SendFunc func(ctx context.Context, c Call) (Response, error)

// Ledger runs calls at most once per caller and idempotency key. Set the
// fields before the first use.
type Ledger struct {
	Table   *table.Client
	Objects *object.Client

	once    sync.Once
	commits committer
	wg      sync.WaitGroup
}

// Close waits until every outcome that is still to be recorded is recorded or
// given up.
func (l *Ledger) Close() {
	l.wg.Wait()
	l.commits.close()
}

// Do runs the call, or returns what an earlier attempt recorded.
func (l *Ledger) Do(ctx context.Context, c Call, send SendFunc) (Response, error) {
	l.once.Do(func() { l.commits.table = l.Table })
	ver, prior, err := l.begin(ctx, c)
	if err != nil {
		return Response{}, err
	}
	if prior != nil {
		return l.recorded(ctx, c, *prior)
	}
	return l.run(ctx, c, ver, send)
}

// begin enters the call. It returns the version of the entry when this attempt
// may send, or the entry of an earlier attempt that has ended.
func (l *Ledger) begin(ctx context.Context, c Call) (ver int64, prior *entry, err error) {
	pause := pollFirst
	for {
		ver, prior, err = l.tryBegin(ctx, c)
		if err != nil || prior != nil || ver != 0 {
			return ver, prior, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, &Error{Op: "wait", Kind: Unknown, Key: c.Key, Err: errors.New("an earlier attempt has not ended; it may have run")}
		case <-time.After(pause):
			pause = min(2*pause, pollMax)
		}
	}
}

// tryBegin makes one try. A zero version without a prior entry or an error
// means that the caller should wait and try again.
func (l *Ledger) tryBegin(ctx context.Context, c Call) (ver int64, prior *entry, err error) {
	fresh := entry{Attempt: c.Attempt, Hash: c.hash(), State: started}
	row, err := l.Table.Get(ctx, c.rowKey())
	switch {
	case table.IsKind(err, table.NotFound):
		return l.enter(table.Check{Key: c.rowKey()}, fresh, c)
	case err != nil:
		return 0, nil, &Error{Op: "begin", Kind: NotRun, Key: c.Key, Err: err}
	}
	e, err := decodeEntry(row)
	if err != nil {
		return 0, nil, err
	}
	switch {
	case e.Hash != fresh.Hash:
		return 0, nil, &Error{Op: "begin", Kind: Conflict, Key: c.Key, Err: errors.New("the key was used with another call")}
	case e.State == started && e.Attempt == c.Attempt:
		return row.Version, nil, nil // our own entry, whose answer was lost
	case e.State == started:
		return 0, nil, nil
	case e.State == notRun:
		return l.enter(table.Check{Key: c.rowKey(), Version: row.Version}, fresh, c)
	}
	return 0, &e, nil
}

func (l *Ledger) enter(check table.Check, e entry, c Call) (int64, *entry, error) {
	ver, err := l.commits.put(check, e.encode())
	switch {
	case err == nil:
		return ver, nil, nil
	case table.IsKind(err, table.Conflict), table.IsKind(err, table.Unknown):
		return 0, nil, nil // read back and decide again
	}
	return 0, nil, &Error{Op: "begin", Kind: NotRun, Key: c.Key, Err: err}
}

func (l *Ledger) run(ctx context.Context, c Call, ver int64, send SendFunc) (Response, error) {
	if err := ctx.Err(); err != nil {
		l.record(c, ver, entry{State: notRun})
		return Response{}, &Error{Op: "send", Kind: NotRun, Key: c.Key, Err: err}
	}
	ans, err := send(ctx, c)
	switch {
	case err == nil:
		l.record(c, ver, entry{State: ran, Response: &ans})
	case IsKind(err, NotRun):
		l.record(c, ver, entry{State: notRun})
	default:
		l.record(c, ver, entry{State: unknown})
	}
	return ans, err
}

// record writes the outcome. The caller of the service is not kept waiting
// while the table is away: the first try is made at once, the rest in the
// background.
func (l *Ledger) record(c Call, ver int64, e entry) {
	e.Attempt, e.Hash = c.Attempt, c.hash()
	if l.tryRecord(c, ver, e) {
		return
	}
	l.wg.Go(func() {
		for range recordTries {
			time.Sleep(recordPause)
			if l.tryRecord(c, ver, e) {
				return
			}
		}
	})
}

// tryRecord reports whether the outcome needs no further try. The row can
// only have changed since ver by an earlier try of the same record.
func (l *Ledger) tryRecord(c Call, ver int64, e entry) bool {
	if e.Response != nil && len(e.Response.Body) > maxInlineBody {
		key := "call/" + c.Attempt
		if err := l.Objects.Put(context.Background(), key, e.Response.Body); err != nil {
			return false
		}
		small := *e.Response
		small.Body = nil
		e.Response, e.Object = &small, key
	}
	_, err := l.commits.put(table.Check{Key: c.rowKey(), Version: ver}, e.encode())
	return err == nil || table.IsKind(err, table.Conflict)
}

func (l *Ledger) recorded(ctx context.Context, c Call, e entry) (Response, error) {
	if e.State != ran {
		return Response{}, &Error{Op: "repeat", Kind: Unknown, Key: c.Key, Err: errors.New("an earlier attempt may have run")}
	}
	ans := *e.Response
	if e.Object != "" {
		body, err := l.Objects.Get(ctx, e.Object)
		if err != nil {
			return Response{}, &Error{Op: "repeat", Kind: Unknown, Key: c.Key, Err: err}
		}
		ans.Body = body
	}
	ans.Replayed = true
	return ans, nil
}
