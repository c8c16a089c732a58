package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the figures of a run.
type Result struct {
	Workload, Policy   string
	Offered            int
	Served             int
	InTime             int // served within their deadline
	Refused            int
	Short, Long        Latency
	ColdWaitShare      float64 // share of requests that waited for an adapter load
	ColdWaitSeconds    float64 // mean wait of these requests
	MeanBatchSize      float64 // mean number of requests in a batch
	MeanAdapters       float64 // mean number of distinct adapters in a batch
	Efficiency         float64 // generated tokens divided by those of full batches of one adapter in the same time
	Goodput            float64 // tokens per second of responses within their deadline
	Loads, Evictions   int
	Hedges, Migrations int
	WastedShare        float64 // share of generated tokens that no caller received
	PeakLoadsPerSecond int     // most adapter loads started within one second
	RecoverySeconds    float64 // end of overload to last refusal or late short response
}

// Latency holds the latency quantiles of one class of requests, in milliseconds.
type Latency struct {
	FirstTokenP50, FirstTokenP99 float64
	TotalP50, TotalP99           float64
	TotalP999                    float64
	InTimeShare                  float64
	count, inTime                int
	firstTokenHist, totalHist    *hdrhistogram.Histogram
}

func newLatency() Latency {
	const maxMs, digits = 3_600_000, 3
	return Latency{firstTokenHist: hdrhistogram.New(1, maxMs, digits), totalHist: hdrhistogram.New(1, maxMs, digits)}
}

func (l *Latency) record(firstToken, total time.Duration) {
	_ = l.firstTokenHist.RecordValue(firstToken.Milliseconds() + 1) // a run is shorter than an hour
	_ = l.totalHist.RecordValue(total.Milliseconds() + 1)
}

func (l *Latency) computeQuantiles() {
	l.FirstTokenP50, l.FirstTokenP99 = float64(l.firstTokenHist.ValueAtQuantile(50)), float64(l.firstTokenHist.ValueAtQuantile(99))
	l.TotalP50, l.TotalP99 = float64(l.totalHist.ValueAtQuantile(50)), float64(l.totalHist.ValueAtQuantile(99))
	l.TotalP999 = float64(l.totalHist.ValueAtQuantile(99.9))
	if l.count > 0 {
		l.InTimeShare = float64(l.inTime) / float64(l.count)
	}
}
