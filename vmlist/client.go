// Package vmlist is a client of the platform's list of virtual machines. The list
// lags behind the state of the VMs.
//
// # Usage
//
//	c := &vmlist.Client{URL: "http://127.0.0.1:7003"}
//	list, err := c.List(ctx)
//	if list.State("127.0.0.1:9000") == vmlist.Leaving { ... }
//
// # Not covered
//
// Inferring the state of a VM that is missing from the list: its state is [Unlisted].
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	requestTimeout = 2 * time.Second
	maxListBytes   = 16 << 20
)

// State is the state of a VM.
type State string

// The states of a VM.
const (
	Live     State = "live"
	Leaving  State = "leaving"
	Gone     State = "gone"     // the VM has terminated and will not restart
	Unlisted State = "unlisted" // the VM is not in the list
)

// VM is one entry of the list.
type VM struct {
	Address string `json:"address"` // IP address and port of the process
	State   State  `json:"state"`
}

// List is the VM list as of one read.
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
	HTTP *http.Client // nil means transport.DefaultClient
}

// List reads the current list.
func (c *Client) List(ctx context.Context) (List, error) {
	var l List
	if err := c.fetch(ctx, &l); err != nil {
		return List{}, &Error{Op: "list", Kind: "unavailable", Err: err}
	}
	return l, nil
}

func (c *Client) fetch(ctx context.Context, l *List) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := sling.New().Base(c.URL).Get("/v1/vms").Request()
	if err != nil {
		return err
	}
	hc := c.HTTP
	if hc == nil {
		hc = transport.DefaultClient
	}
	resp, err := hc.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the VM list responded with status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(l)
}
