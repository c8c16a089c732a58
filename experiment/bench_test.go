package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// BenchmarkPolicy runs every workload under every policy; b.N is the number of
// seeds. Compare runs with benchstat.
func BenchmarkPolicy(b *testing.B) {
	for _, w := range Workloads(1) {
		for _, p := range Policies() {
			b.Run(w.Name+"/"+p.Name, func(b *testing.B) {
				sums := make([]float64, len(columns))
				seed := uint64(0)
				for b.Loop() {
					seed++
					for _, fresh := range Workloads(seed) {
						if fresh.Name != w.Name {
							continue
						}
						r := Run(fresh, p)
						for i, c := range columns {
							sums[i] += c.value(r)
						}
					}
				}
				for i, c := range columns {
					b.ReportMetric(sums[i]/float64(seed), c.name)
				}
			})
		}
	}
}

// The same seed gives the same result, and the weight store's rate is kept:
// three loads a second and one that was saved up.
func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	w := CouncilShift(3)
	w.Duration = warmUp * 2
	a, b := Run(w, NodePolicy), Run(w, NodePolicy)
	is.Equal(a.Served, b.Served)
	is.Equal(a.Short.TotalP99, b.Short.TotalP99)
	is.True(a.PeakLoadsPerSecond <= int(w.LoadRate)+1)
}
