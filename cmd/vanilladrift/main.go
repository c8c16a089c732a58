// Command vanilladrift is the operators' client.
//
// Usage:
//
//	vanilladrift demo
//	vanilladrift settings set /council/counter class=short deadline=5s --why "morning rush"
//	vanilladrift settings get /council/counter
//	vanilladrift adapter publish tides v2 --why "new season"
//	vanilladrift node list --output json
//
// The server and the credential come from --server and --token or from
// VANILLADRIFT_SERVER and VANILLADRIFT_TOKEN. Exit status: 0 done, 1 refused or
// failed, 2 wrong usage, 3 conflict with another operator, 4 outcome unknown.
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

// newParser builds the tree of commands.
func newParser() *flags.Parser {
	var opts clientOptions
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operators' client of vanilladrift. Example:\n\n  vanilladrift settings set /council class=short --why 'morning rush'"
	add := func(parent *flags.Command, name, help string, data any) *flags.Command {
		c, err := parent.AddCommand(name, help, help, data)
		if err != nil {
			panic(err) // the commands are constants
		}
		return c
	}
	root := p.Command
	s := add(root, "settings", "read and change the settings tree", &struct{}{})
	add(s, "get", "show a document and what it inherits", &getCommand{client: &opts})
	add(s, "set", "set fields of a document: NAME field=value ...", &setCommand{client: &opts})
	add(s, "unset", "reset fields to their inherited value: NAME field ...", &unsetCommand{client: &opts})
	add(s, "delete", "delete a document", &deleteCommand{client: &opts})
	add(s, "tree", "show the branches", &treeCommand{client: &opts})
	add(s, "history", "show the audit trail", &historyCommand{client: &opts})
	add(s, "diff", "show what changed after a revision", &diffCommand{client: &opts})
	add(s, "wait", "wait until a revision is in force on nodes", &waitCommand{client: &opts})
	a := add(root, "adapter", "create and publish adapters", &struct{}{})
	add(a, "create", "create an adapter with its first version", &adapterCreateCommand{client: &opts})
	add(a, "publish", "add a version and make it current", &adapterPublishCommand{client: &opts})
	add(a, "list", "list adapters", &listCommand{client: &opts, kind: "adapter"})
	c := add(root, "caller", "attach callers to branches", &struct{}{})
	add(c, "attach", "attach a caller, by its key, to a branch", &callerAttachCommand{client: &opts})
	add(c, "list", "list callers", &listCommand{client: &opts, kind: "caller"})
	n := add(root, "node", "look at nodes", &struct{}{})
	add(n, "explain", "show from logs what became of a request: ID --log FILE", &explainCommand{})
	add(n, "list", "list the nodes that a node sees", &nodeListCommand{client: &opts})
	add(n, "status", "show one node's state", &nodeStatusCommand{client: &opts})
	e := add(root, "engine", "look at and drain model engines", &struct{}{})
	add(e, "list", "list engines and their owners", &engineListCommand{client: &opts})
	add(e, "drain", "let an engine take no new work, or take it again with --off", &engineDrainCommand{client: &opts})
	add(root, "demo", "run the whole system in one process and check its promises", &demoCommand{})
	add(root, "capacity", "measure what the system costs and work out larger sizes", &capacityCommand{})
	add(root, "experiment", "measure scheduling policies on a model of the engines", &experimentCommand{})
	return p
}
