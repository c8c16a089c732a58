package main

import (
	"errors"
)

type experimentCommand struct{}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	return errors.New("not built yet")
}
