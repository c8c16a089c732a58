// Command standin runs a stand-in of one external dependency on a loopback address.
//
// Usage:
//
//	standin table --listen 127.0.0.1:7001
//	standin object --listen 127.0.0.1:7002
//	standin vm-list --listen 127.0.0.1:7003
//	standin engine --listen 127.0.0.1:7010 --slots 8 --places 16
//	standin service --listen 127.0.0.1:7020
//
// A stand-in keeps its state in memory and does not authenticate its clients.
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

// listenOptions are the flags of every stand-in.
type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"loopback IP address and port to listen on"`
}

func (l listenOptions) serve(h http.Handler) error {
	host, _, err := net.SplitHostPort(l.Listen)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return errors.Errorf("%q is not a loopback address and port", l.Listen)
	}
	fmt.Println("listening on", l.Listen)
	srv := &http.Server{Addr: l.Listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	return srv.ListenAndServe()
}

type tableCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error { return c.serve(&standin.Table{}) }

type objectCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *objectCommand) Execute([]string) error { return c.serve(&standin.ObjectStore{}) }

type vmListCommand struct {
	listenOptions
	Lag time.Duration `long:"lag" default:"1s" description:"time until a change is visible"`
}

// Execute implements flags.Commander.
func (c *vmListCommand) Execute([]string) error { return c.serve(&standin.VMList{Lag: c.Lag}) }

type serviceCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	s := &standin.Service{}
	return c.serve(withRecord(s, func() any { return s.Executed() }))
}

type engineCommand struct {
	listenOptions
	Slots         int     `long:"slots" default:"8" description:"adapters that the engine can have loaded"`
	BatchSize     int     `long:"places" default:"16" description:"requests that the engine runs at once"`
	ChecksFencing bool    `long:"checks-fencing" description:"refuse commands with an old fencing token"`
	Speed         float64 `long:"speed" default:"1" description:"speed relative to a real engine"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := &standin.Engine{
		Slots: c.Slots, BatchSize: c.BatchSize, ChecksFencing: c.ChecksFencing, Timing: standin.DefaultTiming.SpeedUp(c.Speed),
	}
	return c.serve(withRecord(e, func() any { return e.Record() }))
}

// withRecord returns a handler that also serves the stand-in's record of requests at
// /standin/record.
func withRecord(h http.Handler, record func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(record()) // fails only if the client has disconnected
	})
	return mux
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for name, c := range map[string]flags.Commander{
		"table": &tableCommand{}, "object": &objectCommand{}, "vm-list": &vmListCommand{},
		"engine": &engineCommand{}, "service": &serviceCommand{},
	} {
		if _, err := p.AddCommand(name, "run a stand-in of the "+name, "", c); err != nil {
			panic(err) // only an invalid command definition fails
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(2)
	}
}
