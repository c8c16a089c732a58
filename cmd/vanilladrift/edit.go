package main

import (
	"crypto/rand"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/operator/operatorpb"
	"github.com/vanilladrift/vanilladrift/settings"
)

// editOptions are the flags of commands that change settings.
type editOptions struct {
	Kind string `long:"kind" default:"branch" choice:"branch" choice:"adapter" choice:"caller" choice:"backend" choice:"service" description:"kind of the document"`
	Why  string `long:"why" description:"reason for the change, kept in the audit trail"`
	Base int64  `long:"base" default:"-1" description:"document revision that the change is based on; -1 means the current one"`
	ID   string `long:"id" description:"ID of the change; reuse it to retry a change whose outcome is unknown"`
}

// sendEdit sends an edit. The error of an unknown outcome names the ID with which to
// retry.
func (o editOptions) sendEdit(c *clientOptions, req *operatorpb.EditRequest) error {
	if o.ID == "" {
		o.ID = rand.Text()
	}
	req.Id, req.Why, req.Base = o.ID, o.Why, o.Base
	if req.Kind == "" {
		req.Kind = o.Kind
	}
	ctx, cancel := c.timeoutContext()
	defer cancel()
	resp, err := c.newClient("").Edit(ctx, connect.NewRequest(req))
	if err != nil {
		if exitStatus(err) == exitUnknown {
			return fmt.Errorf("%w (the change may have been applied; retry with --id %s)", err, o.ID)
		}
		return err
	}
	return printRecords(c, []*operatorpb.Record{resp.Msg.GetChange()})
}

type setCommand struct {
	client *clientOptions
	editOptions
	Args struct {
		Name   string   `positional-arg-name:"name" required:"true"`
		Fields []string `positional-arg-name:"field=value"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	set, err := parseFields(c.Args.Fields)
	if err != nil {
		return err
	}
	return c.sendEdit(c.client, &operatorpb.EditRequest{Name: c.Args.Name, Set: set})
}

func parseFields(args []string) (map[string]string, error) {
	set := make(map[string]string, len(args))
	for _, f := range args {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not of the form field=value", f)
		}
		if _, duplicate := set[k]; duplicate {
			return nil, fmt.Errorf("the field %q is given twice", k)
		}
		set[k] = v
	}
	return set, nil
}

type unsetCommand struct {
	client *clientOptions
	editOptions
	Args struct {
		Name   string   `positional-arg-name:"name" required:"true"`
		Fields []string `positional-arg-name:"field" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *unsetCommand) Execute([]string) error {
	return c.sendEdit(c.client, &operatorpb.EditRequest{Name: c.Args.Name, Unset: c.Args.Fields})
}

type deleteCommand struct {
	client *clientOptions
	editOptions
	Args struct {
		Name string `positional-arg-name:"name" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	return c.sendEdit(c.client, &operatorpb.EditRequest{Name: c.Args.Name, Delete: true})
}

type adapterCreateCommand struct {
	client *clientOptions
	editOptions
	BaseModel string `long:"base-model" required:"true" description:"base model that the adapter was trained for"`
	Args      struct {
		Name    string `positional-arg-name:"name" required:"true"`
		Version string `positional-arg-name:"version" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *adapterCreateCommand) Execute([]string) error {
	c.Base = 0 // the adapter must not exist
	return c.sendEdit(c.client, &operatorpb.EditRequest{
		Kind: string(settings.Adapter), Name: c.Args.Name,
		Set: map[string]string{"base-model": c.BaseModel, "versions": c.Args.Version, "current": c.Args.Version},
	})
}

type adapterPublishCommand struct {
	client *clientOptions
	editOptions
	Args struct {
		Name    string `positional-arg-name:"name" required:"true"`
		Version string `positional-arg-name:"version" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. The edit is based on the revision that was read,
// so that two concurrent publications cannot overwrite each other's version.
func (c *adapterPublishCommand) Execute([]string) error {
	ctx, cancel := c.client.timeoutContext()
	defer cancel()
	resp, err := c.client.newClient("").Get(ctx, connect.NewRequest(&operatorpb.GetRequest{Kind: string(settings.Adapter), Name: c.Args.Name}))
	if err != nil {
		return err
	}
	d := resp.Msg.GetDoc()
	c.Base = d.GetRev()
	return c.sendEdit(c.client, &operatorpb.EditRequest{
		Kind: string(settings.Adapter), Name: c.Args.Name,
		Set: map[string]string{"versions": d.GetFields()["versions"] + "," + c.Args.Version, "current": c.Args.Version},
	})
}

type callerAttachCommand struct {
	client *clientOptions
	editOptions
	Key  string `long:"key" env:"VANILLADRIFT_CALLER_KEY" required:"true" description:"the caller's key; only its hash is stored"`
	Args struct {
		Name   string `positional-arg-name:"name" required:"true"`
		Branch string `positional-arg-name:"branch" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *callerAttachCommand) Execute([]string) error {
	return c.sendEdit(c.client, &operatorpb.EditRequest{
		Kind: string(settings.Caller), Name: c.Args.Name,
		Set: map[string]string{"branch": c.Args.Branch, "key-hash": caller.HashKey(c.Key)},
	})
}

type engineDrainCommand struct {
	client *clientOptions
	editOptions
	Off  bool `long:"off" description:"end the drain and send new requests to the engine again"`
	Args struct {
		Name string `positional-arg-name:"name" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *engineDrainCommand) Execute([]string) error {
	value := "on"
	if c.Off {
		value = "off"
	}
	return c.sendEdit(c.client, &operatorpb.EditRequest{
		Kind: string(settings.Backend), Name: c.Args.Name, Set: map[string]string{"drain": value},
	})
}
