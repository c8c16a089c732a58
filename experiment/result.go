package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured. Times are in milliseconds.
type Result struct {
	Workload, Policy   string
	Offered            int
	Served             int
	InTime             int // served within their deadline
	Refused            int
	Short, Long        Latency
	ColdWaitShare      float64 // share of requests that waited for a load
	ColdWaitSeconds    float64 // mean wait of those
	MeanBatchSize      float64 // mean requests in a batch
	MeanAdapters       float64 // mean distinct adapters in a batch
	Efficiency         float64 // tokens a second over what the same steps could yield with full batches of one adapter
	Goodput            float64 // tokens a second of answers in time
	Loads, Evictions   int
	Hedges, Migrations int
	WastedShare        float64 // share of generated tokens that no caller got
	PeakLoadsPerSecond int     // most loads that started within one second
	RecoverySeconds    float64 // seconds after the crest until refusals end and waits are normal
}

// Latency holds the quantiles of one class.
type Latency struct {
	FirstTokenP50, FirstTokenP99 float64
	TotalP50, TotalP99           float64
	TotalP999                    float64
	InTimeShare                  float64
	count, inTime                int
	firstHist, wholeHist         *hdrhistogram.Histogram
}

func newLatency() Latency {
	const maxMs, digits = 3_600_000, 3
	return Latency{firstHist: hdrhistogram.New(1, maxMs, digits), wholeHist: hdrhistogram.New(1, maxMs, digits)}
}

func (l *Latency) record(first, whole time.Duration) {
	_ = l.firstHist.RecordValue(first.Milliseconds() + 1) // a run is shorter than an hour
	_ = l.wholeHist.RecordValue(whole.Milliseconds() + 1)
}

func (l *Latency) finish() {
	l.FirstTokenP50, l.FirstTokenP99 = float64(l.firstHist.ValueAtQuantile(50)), float64(l.firstHist.ValueAtQuantile(99))
	l.TotalP50, l.TotalP99 = float64(l.wholeHist.ValueAtQuantile(50)), float64(l.wholeHist.ValueAtQuantile(99))
	l.TotalP999 = float64(l.wholeHist.ValueAtQuantile(99.9))
	if l.count > 0 {
		l.InTimeShare = float64(l.inTime) / float64(l.count)
	}
}
