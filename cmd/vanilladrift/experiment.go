package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/vanilladrift/vanilladrift/experiment"
)

type experimentCommand struct {
	Seeds    uint64 `long:"seeds" default:"1" description:"number of seeds to run"`
	Workload string `long:"workload" description:"run only the workloads whose names have this prefix"`
	CSV      string `long:"csv" description:"file to write all results to"`
	SVG      string `long:"svg" description:"file to write a plot of the short requests' p99 latency to"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	policies := experiment.Policies()
	var workloads []experiment.Workload
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		for _, w := range experiment.Workloads(seed) {
			if strings.HasPrefix(w.Name, c.Workload) {
				workloads = append(workloads, w)
			}
		}
	}
	results := make([]experiment.Result, len(workloads)*len(policies))
	seeds := make([]uint64, len(results))
	var g errgroup.Group
	g.SetLimit(max(1, runtime.NumCPU()/2))
	for i, w := range workloads {
		for k, p := range policies {
			index := i*len(policies) + k
			seeds[index] = w.Seed
			g.Go(func() error {
				results[index] = experiment.Run(w, p)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, w := range workloads {
		fmt.Printf("seed %d\n", w.Seed)
		if err := experiment.WriteTable(os.Stdout, results[i*len(policies):(i+1)*len(policies)]); err != nil {
			return err
		}
	}
	return c.writeFiles(seeds, results)
}

// writeFiles writes the results to the files given by --csv and --svg.
func (c *experimentCommand) writeFiles(seeds []uint64, results []experiment.Result) error {
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := experiment.WriteCSV(f, seeds, results); err != nil {
			return err
		}
	}
	if c.SVG != "" {
		return experiment.SavePlot(c.SVG, results)
	}
	return nil
}
