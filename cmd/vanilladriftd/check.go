package main

import "fmt"

// checkCommand checks the configuration without starting.
type checkCommand struct {
	Options options `group:"Node"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, _, err := c.Options.config(); err != nil {
		return err
	}
	fmt.Println("the configuration is sound")
	return nil
}
