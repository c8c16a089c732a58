package table

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Client is a client of the table service. It is safe for concurrent use.
type Client struct {
	URL  string
	HTTP *http.Client // nil means transport.DefaultClient
	// Read and Apply, if set, are called instead of the HTTP API at URL. Their
	// errors must be of type [Error].
	Read  func(ctx context.Context, q Query) ([]Row, error)
	Apply func(ctx context.Context, tx Tx) (int64, error)

	reads, writes, bodyBytes atomic.Int64
	marked                   atomic.Int64 // the latest generation that this client has marked
}

// Counts returns the number of reads, of transactions, and of body bytes in
// both directions since the client was made.
func (c *Client) Counts() (reads, writes, bodyBytes int64) {
	return c.reads.Load(), c.writes.Load(), c.bodyBytes.Load()
}

// Get returns the row, or an error of kind [NotFound].
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	rows, err := c.read(ctx, "get", key, Query{Key: key})
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 {
		return Row{}, &Error{Op: "get", Kind: NotFound, Key: key}
	}
	return rows[0], nil
}

// Scan returns the rows whose keys start with prefix, sorted by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	return c.ScanAfter(ctx, prefix, "", 0)
}

// ScanAfter is like [Client.Scan] for keys greater than after, at most limit
// rows; a limit of 0 means no limit.
func (c *Client) ScanAfter(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.read(ctx, "scan", prefix, Query{Prefix: prefix, After: after, Limit: limit})
}

// Query selects rows: the one with Key, or else up to Limit rows (0 means all)
// whose keys begin with Prefix and are greater than After.
type Query struct {
	Key    string `url:"key,omitempty"`
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

func (c *Client) read(ctx context.Context, op, key string, q Query) ([]Row, error) {
	c.reads.Add(1)
	if c.Read != nil {
		return c.Read(ctx, q)
	}
	req, err := sling.New().Base(c.URL).Get("/v1/rows").QueryStruct(q).Request()
	if err != nil {
		return nil, &Error{Op: op, Kind: Malformed, Key: key, Err: err}
	}
	var rows Rows
	if kind, err := c.do(ctx, req, &rows); err != nil {
		if kind == Unknown {
			kind = Unavailable // a read changes nothing, so its outcome is known
		}
		return nil, &Error{Op: op, Kind: kind, Key: key, Err: err}
	}
	return rows.Rows, nil
}

// Commit applies the transaction and returns the version of the rows that it
// wrote. After an error of kind [Conflict] or [Unavailable] it was not applied;
// after one of kind [Unknown] or [Restored] it may have been.
func (c *Client) Commit(ctx context.Context, tx Tx) (int64, error) {
	const op = "commit"
	c.writes.Add(1)
	if generation, ok := tx.Generation(); ok && generation > 0 {
		version, err := c.commit(ctx, op, tx.boundToGeneration(generation, c.marked.Load() < generation))
		if err == nil {
			c.marked.Store(generation)
		}
		return version, err
	}
	return c.commit(ctx, op, tx)
}

func (c *Client) commit(ctx context.Context, op string, tx Tx) (int64, error) {
	if c.Apply != nil {
		return c.Apply(ctx, tx)
	}
	req, err := sling.New().Base(c.URL).Post("/v1/tx").BodyJSON(tx).Request()
	if err != nil {
		return 0, &Error{Op: op, Kind: Malformed, Err: err}
	}
	c.bodyBytes.Add(req.ContentLength)
	var res TxResult
	if kind, err := c.do(ctx, req, &res); err != nil {
		return 0, &Error{Op: op, Kind: kind, Err: err}
	}
	if res.Conflict != "" {
		return 0, &Error{Op: op, Kind: Conflict, Key: res.Conflict}
	}
	return res.Version, nil
}

func (c *Client) do(ctx context.Context, req *http.Request, out any) (ErrorKind, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hc := c.HTTP
	if hc == nil {
		hc = transport.DefaultClient
	}
	resp, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		if transport.IsDialError(err) {
			return Unavailable, errors.Trace(err)
		}
		return Unknown, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := transport.ReadBody(resp.Body, maxResponseBytes)
	c.bodyBytes.Add(int64(len(body)))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return Unavailable, errors.Errorf("status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return Unknown, errors.Errorf("status %d", resp.StatusCode)
	case err != nil:
		return Unknown, errors.Trace(err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return Unknown, errors.Trace(err)
	}
	return "", nil
}
