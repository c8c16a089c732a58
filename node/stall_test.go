package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against streams that stall but send some bytes now and then, and that go on only
// after ten seconds, or end with the deadline: another engine takes over within a second and
// 20 times the usual time of the engine.
func TestDrippingEngineStreams(t *testing.T) {
	const tokens = 20
	chunk := `data: {"id":"cmpl-{id}","model":"{model}","choices":[{"text":"","finish_reason":null}]}` + "\n\n"
	for name, text := range map[string]string{
		"silence": "", "bytes": "x", "comments": ": ping\n\n", "empty events": "\n", "empty data": "data:\n\n", "white space": " ",
		"chunks without text": chunk, "chunks of another request": `data: {"id":"cmpl-other","choices":[{"text":"x"}]}` + "\n\n",
		"the first chunk again": `data: {"id":"cmpl-{id}","model":"{model}","choices":[{"text":"x"}],"usage":{"completion_tokens":1}}` + "\n\n",
	} {
		for _, after := range []int{0, 5} {
			if after == 0 && (name == "empty data" || name == "the first chunk again") {
				continue
			}
			t.Run(fmt.Sprint(name, after), func(t *testing.T) {
				runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
					is := is.NewRelaxed(t)
					for range 24 {
						c.sendRequest(0, "depot", 0, "", tokens, true)
					}
					var slowest time.Duration
					for i := range 4 {
						for _, e := range c.engines {
							e.SetFault(standin.EngineFault{Drip: standin.Drip{Streams: 1, After: after, Text: text, Interval: 50 * time.Millisecond}})
						}
						c.engines[i%2].SetFault(standin.EngineFault{})
						start := time.Now()
						c.sendRequest(0, "depot", 0, "", tokens, true)
						slowest = max(slowest, time.Since(start))
					}
					is.Equal(c.outcomes, map[string]int{"served": 28})
					is.True(slowest < 4*time.Second)
				})
			})
		}
	}
}

// Guards against sound streams that are given up, since their engine is slow.
func TestSlowEngineStreamsGoOn(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		is := is.NewRelaxed(t)
		for _, e := range c.engines {
			e.SetFault(standin.EngineFault{Slowdown: 40})
		}
		for range 4 {
			c.sendRequest(0, "depot", 0, "", 12, true)
		}
		for _, e := range c.engines {
			e.SetFault(standin.EngineFault{Slowdown: 700}) // 13 seconds from token to token
		}
		before := c.startedStreams()
		c.sendRequest(0, "depot", 0, "", 5, true)
		is.Equal(c.outcomes, map[string]int{"served": 5})
		is.Equal(c.startedStreams()-before, 1)
	})
}

// startedStreams returns the number of streams that engines have started.
func (c *cluster) startedStreams() (n int) {
	for _, e := range c.engines {
		for _, count := range e.Record().Started {
			n += count
		}
	}
	return n
}

// Guards against streams that broke off after the deadline for their first token and are not
// resumed, since the owners of the other engines refuse work whose deadline has passed.
func TestStreamIsResumedAfterItsDeadline(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		for _, e := range c.engines {
			e.SetFault(standin.EngineFault{Slowdown: 10, CutAfterTokens: 200, CutStreams: 1}) // after 40 s; the deadline is 30 s
		}
		c.sendRequest(0, "depot", 0, "", 250, true)
		is.NewRelaxed(t).Equal(c.outcomes, map[string]int{"served": 1})
	})
}
