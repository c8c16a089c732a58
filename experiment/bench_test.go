package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// BenchmarkPolicy runs every workload under every policy and reports the mean of
// each result column over b.N seeds. Compare the output of two runs with benchstat.
func BenchmarkPolicy(b *testing.B) {
	for _, w := range Workloads(1) {
		for _, p := range Policies() {
			b.Run(w.Name+"/"+p.Name, func(b *testing.B) {
				sums := make([]float64, len(resultColumns))
				seed := uint64(0)
				for b.Loop() {
					seed++
					for _, fresh := range Workloads(seed) {
						if fresh.Name != w.Name {
							continue
						}
						r := Run(fresh, p)
						for i, c := range resultColumns {
							sums[i] += c.value(r)
						}
					}
				}
				for i, c := range resultColumns {
					b.ReportMetric(sums[i]/float64(seed), c.name)
				}
			})
		}
	}
}

// Two runs with the same seed return the same result, and no second has more loads
// than the weight store's rate of three and one load saved up in the budget.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	w := CouncilShift(3)
	w.Duration = warmUp * 2
	a, b := Run(w, NodePolicy), Run(w, NodePolicy)
	is.Equal(a.Served, b.Served)
	is.Equal(a.Short.TotalP99, b.Short.TotalP99)
	is.True(a.PeakLoadsPerSecond <= int(w.LoadRate)+1)
}
