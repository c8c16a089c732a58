// Command vanilladriftd is the daemon that runs on every entry VM.
//
// Usage:
//
//	vanilladriftd run --name n1 --peer-address 127.0.0.1:7101 --table-url http://127.0.0.1:7001 ...
//	vanilladriftd check ...
//
// Every flag can also be set by an environment variable, which --help names. SIGTERM
// drains the node for at most --drain-timeout. A second SIGTERM logs the number of
// streams in flight, and a third one aborts them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Node that serves callers' requests on model engines."
	for _, c := range []struct {
		name, help string
		command    flags.Commander
	}{
		{"run", "run the node until SIGTERM", &runCommand{}},
		{"platform", "run the node of an entry VM, configured by the platform's settings file, until SIGTERM", &platformCommand{}},
		{"check", "validate the flags and the environment without starting", &checkCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.help, c.help, c.command); err != nil {
			panic(err) // only an invalid command definition fails
		}
	}
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "vanilladriftd:", err)
		os.Exit(2)
	}
}
