package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/operator/operatorpb"
)

type getCommand struct {
	client *clientOptions
	Kind   string `long:"kind" default:"branch" description:"kind of the document"`
	Args   struct {
		Name string `positional-arg-name:"name" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ctx, cancel := c.client.timeoutContext()
	defer cancel()
	resp, err := c.client.newClient("").Get(ctx, connect.NewRequest(&operatorpb.GetRequest{Kind: c.Kind, Name: c.Args.Name}))
	if err != nil {
		return err
	}
	d := resp.Msg.GetDoc()
	var rows [][]string
	for _, f := range strings.Fields(formatFields(d.GetFields())) {
		k, v, _ := strings.Cut(f, "=")
		rows = append(rows, []string{k, v, "set"})
	}
	for _, f := range strings.Fields(formatFields(resp.Msg.GetEffective())) {
		k, v, _ := strings.Cut(f, "=")
		if _, set := d.GetFields()[k]; !set {
			rows = append(rows, []string{k, v, "inherited"})
		}
	}
	return c.client.print(resp.Msg, "field value from", rows)
}

type treeCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *treeCommand) Execute([]string) error {
	return (&listCommand{client: c.client, kind: "branch"}).Execute(nil)
}

type listCommand struct {
	client *clientOptions
	kind   string
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := c.client.timeoutContext()
	defer cancel()
	resp, err := c.client.newClient("").List(ctx, connect.NewRequest(&operatorpb.ListRequest{Kind: c.kind}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, d := range resp.Msg.GetDocs() {
		rows = append(rows, []string{d.GetName(), strconv.FormatInt(d.GetRev(), 10), formatFields(d.GetFields())})
	}
	return c.client.print(resp.Msg, "name revision fields", rows)
}

func printRecords(c *clientOptions, records []*operatorpb.Record) error {
	var rows [][]string
	for _, r := range records {
		newValue := formatFields(r.GetNew())
		if r.GetDeleted() {
			newValue = "deleted"
		}
		rows = append(rows, []string{
			strconv.FormatInt(r.GetRev(), 10), time.UnixMilli(r.GetWhenUnixMs()).UTC().Format(time.RFC3339), r.GetWho(),
			r.GetKind() + " " + r.GetName(), formatFields(r.GetOld()) + " -> " + newValue, r.GetWhy(),
		})
	}
	return c.print(records, "revision when who document change why", rows)
}

type historyCommand struct {
	client *clientOptions
	Kind   string `long:"kind" default:"branch" description:"kind of the document"`
	Limit  int32  `long:"limit" default:"50" description:"largest number of records to show"`
	Args   struct {
		Name string `positional-arg-name:"name"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	req := &operatorpb.HistoryRequest{Limit: c.Limit}
	if c.Args.Name != "" {
		req.Kind, req.Name = c.Kind, c.Args.Name
	}
	records, err := fetchHistory(c.client, req)
	if err != nil {
		return err
	}
	return printRecords(c.client, records)
}

func fetchHistory(o *clientOptions, req *operatorpb.HistoryRequest) ([]*operatorpb.Record, error) {
	ctx, cancel := o.timeoutContext()
	defer cancel()
	resp, err := o.newClient("").History(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetRecords(), nil
}

// maxDiffRecords bounds the audit records that are fetched for a diff.
const maxDiffRecords = 1000

type diffCommand struct {
	client *clientOptions
	Args   struct {
		After int64 `positional-arg-name:"revision" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	records, err := fetchHistory(c.client, &operatorpb.HistoryRequest{Limit: maxDiffRecords})
	if err != nil {
		return err
	}
	var later []*operatorpb.Record
	for _, r := range records {
		if r.GetRev() > c.Args.After {
			later = append(later, r)
		}
	}
	return printRecords(c.client, later)
}

const waitPollInterval = 100 * time.Millisecond

type waitCommand struct {
	client *clientOptions
	Nodes  []string `long:"node" description:"operator address of a node to wait for (repeatable; default --server)"`
	Args   struct {
		Revision int64 `positional-arg-name:"revision" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	if len(c.Nodes) == 0 {
		c.Nodes = []string{c.client.Server}
	}
	ctx, cancel := c.client.timeoutContext()
	defer cancel()
	for _, address := range c.Nodes {
		for {
			resp, err := c.client.newClient(address).Status(ctx, connect.NewRequest(&operatorpb.StatusRequest{}))
			if err == nil && resp.Msg.GetRevision() >= c.Args.Revision {
				fmt.Println(address, "has revision", resp.Msg.GetRevision())
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s has not applied revision %d within the timeout", address, c.Args.Revision)
			case <-time.After(waitPollInterval):
			}
		}
	}
	return nil
}

func (o *clientOptions) fetchStatus() (*operatorpb.StatusResponse, error) {
	ctx, cancel := o.timeoutContext()
	defer cancel()
	resp, err := o.newClient("").Status(ctx, connect.NewRequest(&operatorpb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

type nodeListCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *nodeListCommand) Execute([]string) error {
	st, err := c.client.fetchStatus()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, n := range st.GetNodes() {
		rows = append(rows, []string{n.GetNode(), n.GetAddress(), n.GetDataCenter(), strconv.FormatBool(n.GetLive()), strconv.FormatBool(n.GetLeaving())})
	}
	return c.client.print(st.GetNodes(), "node address data-center live leaving", rows)
}

type nodeStatusCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *nodeStatusCommand) Execute([]string) error {
	st, err := c.client.fetchStatus()
	if err != nil {
		return err
	}
	return c.client.print(st, "node revision ready lease-left reason", [][]string{{
		st.GetNode(), strconv.FormatInt(st.GetRevision(), 10), strconv.FormatBool(st.GetReady()),
		(time.Duration(st.GetLeaseLeftMs()) * time.Millisecond).String(), st.GetNotReadyReason(),
	}})
}

type engineListCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *engineListCommand) Execute([]string) error {
	st, err := c.client.fetchStatus()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, e := range st.GetEngines() {
		rows = append(rows, []string{
			e.GetEngine(), e.GetOwner(), strconv.FormatInt(e.GetToken(), 10), strconv.Itoa(int(e.GetRunning())),
			strconv.Itoa(int(e.GetWaiting())), fmt.Sprintf("%d/%d", e.GetResident(), e.GetSlots()), e.GetMode(),
		})
	}
	return c.client.print(st.GetEngines(), "engine owner token running waiting adapters mode", rows)
}
