package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// resultColumns are the columns of the table and of the CSV file.
var resultColumns = []struct {
	name     string
	value    func(r Result) float64
	decimals int // in the table
}{
	{"offered", func(r Result) float64 { return float64(r.Offered) }, 0},
	{"in-time-%", func(r Result) float64 { return 100 * float64(r.InTime) / float64(max(1, r.Offered)) }, 1},
	{"goodput-tok/s", func(r Result) float64 { return r.Goodput }, 0},
	{"refused", func(r Result) float64 { return float64(r.Refused) }, 0},
	{"short-first-p50-ms", func(r Result) float64 { return r.Short.FirstTokenP50 }, 0},
	{"short-first-p99-ms", func(r Result) float64 { return r.Short.FirstTokenP99 }, 0},
	{"short-p50-ms", func(r Result) float64 { return r.Short.TotalP50 }, 0},
	{"short-p99-ms", func(r Result) float64 { return r.Short.TotalP99 }, 0},
	{"long-p50-ms", func(r Result) float64 { return r.Long.TotalP50 }, 0},
	{"long-p99-ms", func(r Result) float64 { return r.Long.TotalP99 }, 0},
	{"long-p99.9-ms", func(r Result) float64 { return r.Long.TotalP999 }, 0},
	{"stalled-%", func(r Result) float64 { return 100 * r.ColdWaitShare }, 2},
	{"stall-s", func(r Result) float64 { return r.ColdWaitSeconds }, 2},
	{"batch", func(r Result) float64 { return r.MeanBatchSize }, 1},
	{"distinct", func(r Result) float64 { return r.MeanAdapters }, 1},
	{"efficiency", func(r Result) float64 { return r.Efficiency }, 2},
	{"loads", func(r Result) float64 { return float64(r.Loads) }, 0},
	{"evictions", func(r Result) float64 { return float64(r.Evictions) }, 0},
	{"peak-loads/s", func(r Result) float64 { return float64(r.PeakLoadsPerSecond) }, 0},
	{"hedges", func(r Result) float64 { return float64(r.Hedges) }, 0},
	{"moves", func(r Result) float64 { return float64(r.Migrations) }, 0},
	{"wasted-%", func(r Result) float64 { return 100 * r.WastedShare }, 2},
	{"recovery-s", func(r Result) float64 { return r.RecoverySeconds }, 1},
}

// WriteTable writes the results of one workload with one row per figure and one column
// per policy.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, results[0].Workload, "\t")
	for _, r := range results {
		fmt.Fprint(tw, r.Policy, "\t")
	}
	fmt.Fprintln(tw)
	for _, c := range resultColumns {
		fmt.Fprint(tw, c.name, "\t")
		for _, r := range results {
			fmt.Fprint(tw, strconv.FormatFloat(c.value(r), 'f', c.decimals, 64), "\t")
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

// WriteCSV writes one row per result.
func WriteCSV(w io.Writer, seeds []uint64, results []Result) error {
	cw := csv.NewWriter(w)
	header := []string{"workload", "policy", "seed"}
	for _, c := range resultColumns {
		header = append(header, c.name)
	}
	if err := cw.Write(header); err != nil {
		return err
	}
	for i, r := range results {
		row := []string{r.Workload, r.Policy, strconv.FormatUint(seeds[i], 10)}
		for _, c := range resultColumns {
			row = append(row, strconv.FormatFloat(c.value(r), 'f', 4, 64))
		}
		if err := cw.Write(row); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}
