// Command standin runs one small fake of an outside system on a loopback port.
//
// Usage:
//
//	standin table --listen 127.0.0.1:7001
//	standin object --listen 127.0.0.1:7002
//	standin vm-list --listen 127.0.0.1:7003
//	standin engine --listen 127.0.0.1:7010 --slots 8 --places 16
//	standin service --listen 127.0.0.1:7020
//
// A fake keeps its state in memory and trusts every caller.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/standin"
)

const headerTimeout = 10 * time.Second

// listenOption is common to all fakes.
type listenOption struct {
	Listen string `long:"listen" required:"true" description:"loopback IP address and port"`
}

func (l listenOption) serve(h http.Handler) error {
	host, _, err := net.SplitHostPort(l.Listen)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return errors.Errorf("%q is not a loopback address and port", l.Listen)
	}
	fmt.Println("listening on", l.Listen)
	srv := &http.Server{Addr: l.Listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	return srv.ListenAndServe()
}

type tableCommand struct{ listenOption }

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error { return c.serve(&standin.Table{}) }

type objectCommand struct{ listenOption }

// Execute implements flags.Commander.
func (c *objectCommand) Execute([]string) error { return c.serve(&standin.ObjectStore{}) }

type vmListCommand struct {
	listenOption
	Lag time.Duration `long:"lag" default:"1s" description:"time until a change shows"`
}

// Execute implements flags.Commander.
func (c *vmListCommand) Execute([]string) error { return c.serve(&standin.VMList{Lag: c.Lag}) }

type serviceCommand struct{ listenOption }

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	s := &standin.Service{}
	return c.serve(withRecord(s, func() any { return s.Executed() }))
}

type engineCommand struct {
	listenOption
	Slots         int     `long:"slots" default:"8" description:"adapters that the engine holds"`
	Concurrency   int     `long:"places" default:"16" description:"places in the batch"`
	ChecksFencing bool    `long:"checks-fencing" description:"refuse orders with an old fencing token"`
	Speed         float64 `long:"speed" default:"1" description:"times faster than a real engine"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := &standin.Engine{
		Slots: c.Slots, BatchSize: c.Concurrency, ChecksFencing: c.ChecksFencing, Timing: standin.DefaultTiming.SpeedUp(c.Speed),
	}
	return c.serve(withRecord(e, func() any { return e.Record() }))
}

// withRecord serves what the fake saw at /standin/record.
func withRecord(h http.Handler, record func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(record()) // the caller has gone away
	})
	return mux
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for name, c := range map[string]flags.Commander{
		"table": &tableCommand{}, "object": &objectCommand{}, "vm-list": &vmListCommand{},
		"engine": &engineCommand{}, "service": &serviceCommand{},
	} {
		if _, err := p.AddCommand(name, "run a fake of the "+name, "", c); err != nil {
			panic(err) // the commands are constants
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(2)
	}
}
