// Package vmlist speaks to the platform's list of virtual machines, which
// lags behind the truth.
//
// # Usage
//
//	c := &vmlist.Client{URL: "http://127.0.0.1:7003"}
//	list, err := c.List(ctx)
//	if list.State("127.0.0.1:9000") == vmlist.Leaving { ... }
//
// # Not covered
//
// The package does not guess: an address that the list does not name has the
// state [Unlisted].
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

const (
	callTimeout  = 2 * time.Second
	maxListBytes = 16 << 20
)

// State is the state of a VM.
type State string

// The states of a VM.
const (
	Live     State = "live"
	Leaving  State = "leaving"
	Gone     State = "gone"     // the VM has ended and will not come back
	Unlisted State = "unlisted" // the list does not name the VM
)

// VM is one entry of the list.
type VM struct {
	Address string `json:"address"` // IP address and port of the process
	State   State  `json:"state"`
}

// List is one reading of the list.
type List struct {
	VMs []VM `json:"vms"`
}

// State returns the state of the VM at an address.
func (l List) State(address string) State {
	for _, vm := range l.VMs {
		if vm.Address == address {
			return vm.State
		}
	}
	return Unlisted
}

// Error is the error type of this package; there is one kind, "unavailable".
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return "vmlist: " + e.Op + ": " + e.Kind + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is a client of the VM list. It is safe for concurrent use.
type Client struct {
	URL  string
	HTTP *http.Client // nil means http.DefaultClient
}

// List reads the list.
func (c *Client) List(ctx context.Context) (List, error) {
	var l List
	if err := c.list(ctx, &l); err != nil {
		return List{}, &Error{Op: "list", Kind: "unavailable", Err: err}
	}
	return l, nil
}

func (c *Client) list(ctx context.Context, l *List) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := sling.New().Base(c.URL).Get("/v1/vms").Request()
	if err != nil {
		return err
	}
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	resp, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(l)
}
