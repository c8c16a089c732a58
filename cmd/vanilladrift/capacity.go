package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/vanilladrift/vanilladrift/capacity"
)

// capacityCommand estimates resource use at several system sizes from slopes, the
// measured costs per unit.
type capacityCommand struct {
	Slopes string `long:"slopes" description:"file written by --save, to use instead of measuring"`
	Save   string `long:"save" description:"file to write the measured slopes to"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	var slopes capacity.Slopes
	var err error
	if c.Slopes != "" {
		slopes, err = readSlopes(c.Slopes)
	} else {
		slopes, err = capacity.Measure()
	}
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := os.WriteFile(c.Save, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	for _, size := range []capacity.Size{capacity.Today, capacity.TwoYears} {
		fmt.Printf("\n%s\n\n", size.Name)
		capacity.WriteMarkdown(os.Stdout, slopes, size)
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
