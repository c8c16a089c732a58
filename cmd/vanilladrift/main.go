// Command vanilladrift is the operators' client.
//
// Usage:
//
//	vanilladrift demo
//	vanilladrift settings set /council/counter class=short deadline=5s --why "morning rush"
//	vanilladrift settings get /council/counter
//	vanilladrift adapter publish tides v2 --why "new season"
//	vanilladrift node list --output json
//	vanilladrift config check next.json --against current.json
//
// The node's operator address and the operator's token come from --server and --token
// or from VANILLADRIFT_SERVER and VANILLADRIFT_TOKEN. Exit status: 0 success, 1 rejected
// or failed, 2 invalid usage, 3 conflict with a concurrent change, 4 outcome unknown.
package main

import (
	"errors"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

func main() {
	p := newParser()
	_, err := p.Parse()
	if err == nil {
		return
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "vanilladrift:", fe.Message)
		os.Exit(exitUsage)
	}
	fmt.Fprintln(os.Stderr, "vanilladrift:", err)
	os.Exit(exitStatus(err))
}

func exitStatus(err error) int {
	var se *statusError
	if errors.As(err, &se) {
		return se.status
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeAborted:
		return exitConflict
	}
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Code() == connect.CodeUnknown {
		return exitUnknown
	}
	return exitFailed
}

// newParser returns the parser of all commands.
func newParser() *flags.Parser {
	var opts clientOptions
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operators' client of vanilladrift. Example:\n\n  vanilladrift settings set /council class=short --why 'morning rush'"
	add := func(parent *flags.Command, name, help string, command any) *flags.Command {
		c, err := parent.AddCommand(name, help, help, command)
		if err != nil {
			panic(err) // only an invalid command definition fails
		}
		return c
	}
	root := p.Command
	settingsCmd := add(root, "settings", "read and change the settings tree", &struct{}{})
	add(settingsCmd, "get", "show a document and the values that it inherits", &getCommand{client: &opts})
	add(settingsCmd, "set", "set fields of a document: NAME field=value ...", &setCommand{client: &opts})
	add(settingsCmd, "unset", "reset fields to their inherited value: NAME field ...", &unsetCommand{client: &opts})
	add(settingsCmd, "delete", "delete a document", &deleteCommand{client: &opts})
	add(settingsCmd, "tree", "list the branches with their own fields", &treeCommand{client: &opts})
	add(settingsCmd, "history", "show the audit trail", &historyCommand{client: &opts})
	add(settingsCmd, "diff", "show what changed after a revision", &diffCommand{client: &opts})
	add(settingsCmd, "wait", "wait until nodes have applied a revision", &waitCommand{client: &opts})
	adapterCmd := add(root, "adapter", "create and publish adapters", &struct{}{})
	add(adapterCmd, "create", "create an adapter with its first version", &adapterCreateCommand{client: &opts})
	add(adapterCmd, "publish", "add a version and make it current", &adapterPublishCommand{client: &opts})
	add(adapterCmd, "list", "list adapters", &listCommand{client: &opts, kind: "adapter"})
	callerCmd := add(root, "caller", "attach callers to branches", &struct{}{})
	add(callerCmd, "attach", "attach a caller, by its key, to a branch", &callerAttachCommand{client: &opts})
	add(callerCmd, "list", "list callers", &listCommand{client: &opts, kind: "caller"})
	nodeCmd := add(root, "node", "inspect nodes and requests", &struct{}{})
	add(nodeCmd, "explain", "show the history of a request from daemon logs: ID --log FILE", &explainCommand{})
	add(nodeCmd, "list", "list the nodes that the server knows", &nodeListCommand{client: &opts})
	add(nodeCmd, "status", "show one node's state", &nodeStatusCommand{client: &opts})
	engineCmd := add(root, "engine", "inspect and drain model engines", &struct{}{})
	add(engineCmd, "list", "list engines and their owners", &engineListCommand{client: &opts})
	add(engineCmd, "drain", "stop sending new requests to an engine, or resume with --off", &engineDrainCommand{client: &opts})
	configCmd := add(root, "config", "check configurations in files", &struct{}{})
	add(configCmd, "check", "list the mistakes in a configuration, and what it changes: FILE [--against FILE]", &configCheckCommand{})
	add(root, "demo", "run the whole system in one process and check its guarantees", &demoCommand{})
	add(root, "capacity", "measure resource costs and extrapolate them to larger systems", &capacityCommand{})
	add(root, "experiment", "compare scheduling policies on simulated engines", &experimentCommand{})
	return p
}
