package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/vanilladrift/vanilladrift/experiment"
)

type experimentCommand struct {
	Seeds    uint64 `long:"seeds" default:"1" description:"number of seeds to run"`
	Workload string `long:"workload" description:"run only workloads whose name starts so"`
	CSV      string `long:"csv" description:"file for all figures"`
	SVG      string `long:"svg" description:"file for a plot of the short requests' p99"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	var results []experiment.Result
	var seeds []uint64
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		for _, w := range experiment.All(seed) {
			if !strings.HasPrefix(w.Name, c.Workload) {
				continue
			}
			var row []experiment.Result
			for _, p := range experiment.Policies() {
				row = append(row, experiment.Run(w, p))
				seeds = append(seeds, seed)
			}
			fmt.Printf("seed %d\n", seed)
			if err := experiment.Table(os.Stdout, row); err != nil {
				return err
			}
			results = append(results, row...)
		}
	}
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := experiment.CSV(f, seeds, results); err != nil {
			return err
		}
	}
	if c.SVG != "" {
		return experiment.Plot(c.SVG, results)
	}
	return nil
}
