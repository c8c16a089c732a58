package main

import (
	"os"

	"github.com/vanilladrift/vanilladrift/demo"
)

type demoCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the random choices"`
	Requests int    `long:"requests" default:"3000" description:"requests to send"`
	JSON     bool   `long:"json" description:"print the summary as JSON"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	return demo.Run(demo.Options{Seed: c.Seed, Requests: c.Requests, JSON: c.JSON, Out: os.Stdout, Progress: os.Stderr})
}
