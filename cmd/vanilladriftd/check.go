package main

import "fmt"

// checkCommand validates the configuration without starting a node.
type checkCommand struct {
	Options options `group:"Node"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, _, err := c.Options.config(); err != nil {
		return err
	}
	fmt.Println("the configuration is valid")
	return nil
}
