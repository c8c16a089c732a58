package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/vanilladrift/vanilladrift/capacity"
)

type capacityCommand struct {
	Slopes string `long:"slopes" description:"file with slopes to use instead of measuring"`
	Save   string `long:"save" description:"file to write the measured slopes to"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	var s capacity.Slopes
	var err error
	if c.Slopes != "" {
		s, err = readSlopes(c.Slopes)
	} else {
		s, err = capacity.Measure()
	}
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := os.WriteFile(c.Save, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	for _, z := range []capacity.Size{capacity.Today, capacity.TwoYears} {
		fmt.Printf("\n%s\n\n", z.Name)
		capacity.WriteMarkdown(os.Stdout, s, z)
	}
	return nil
}

func readSlopes(name string) (s capacity.Slopes, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}
