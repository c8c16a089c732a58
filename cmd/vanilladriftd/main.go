// Command vanilladriftd is the daemon that runs on every entry VM.
//
// Usage:
//
//	vanilladriftd run --name n1 --peer-address 127.0.0.1:7101 --table-url http://127.0.0.1:7001 ...
//	vanilladriftd check ...
//
// Every flag can be given in the environment; --help names the variables.
// SIGTERM drains the node within --drain-timeout. A second one says what is
// still in flight, and a third stops at once.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serving node between callers and model engines."
	for _, c := range []struct {
		name, help string
		command    flags.Commander
	}{
		{"run", "run the node until SIGTERM", &runCommand{}},
		{"platform", "run the node of an entry VM on the users' platform until SIGTERM", &platformCommand{}},
		{"check", "check the flags and the environment without starting", &checkCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.help, c.help, c.command); err != nil {
			panic(err) // the commands are constants
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
