package main

import (
	"io"
	"os"

	"github.com/vanilladrift/vanilladrift/demo"
)

type demoCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the random generators"`
	Requests int    `long:"requests" default:"3000" description:"number of requests to send"`
	Platform bool   `long:"platform" description:"run the daemons on a stand-in of the users' platform"`
	Log      string `long:"log" description:"file to write the daemons' log to, with --platform"`
	JSON     bool   `long:"json" description:"print the summary as JSON"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	o := demo.Options{Seed: c.Seed, Requests: c.Requests, JSON: c.JSON, Out: os.Stdout, Progress: os.Stderr}
	if !c.Platform {
		return demo.Run(o)
	}
	if c.Log == "" {
		return demo.RunPlatform(o, io.Discard)
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return err
	}
	err = demo.RunPlatform(o, f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
