package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth   = vg.Length(14)
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// SavePlot writes a bar chart of the short requests' p99 latency by workload and policy.
// The extension of the file name selects the format, such as SVG.
func SavePlot(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Short requests, whole answer, p99"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	var workloads []string
	values := map[string]map[string]float64{}
	for _, r := range results {
		if values[r.Workload] == nil {
			values[r.Workload] = map[string]float64{}
			workloads = append(workloads, r.Workload)
		}
		values[r.Workload][r.Policy] = max(values[r.Workload][r.Policy], r.Short.TotalP99)
	}
	for i, pol := range Policies() {
		bars := make(plotter.Values, len(workloads))
		for k, w := range workloads {
			bars[k] = values[w][pol.Name]
		}
		chart, err := plotter.NewBarChart(bars, barWidth)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(i-1)
		p.Add(chart)
		p.Legend.Add(pol.Name, chart)
	}
	p.NominalX(workloads...)
	return p.Save(plotWidth, plotHeight, file)
}
