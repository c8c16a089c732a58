package caller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an adapter in demand that gets three engines while most of 60 have nothing to do. The
// load is that of a customer whose demand is uneven: a fifth of 740 requests a second are for one
// of 10,000 adapters. With three engines an adapter, 84 in 100 of the requests were granted in time.
func TestAdaptersInDemandSpreadOverALargePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetOfBatch(60, 11, 16)
		sent, onTime := f.runLoad(740, 10*time.Second, 10_000, 1.2)
		holders := 0
		for _, o := range f.owners {
			if o.hasLoaded("m/a0") {
				holders++
			}
		}
		t.Logf("%d requests, %d within the target, %d loads, %d engines hold the most popular adapter", sent, onTime, f.loads(), holders)
		is.True(holders > preferredEngines)
		is.True(onTime*100 >= sent*95)
	})
}

// Guards against copies of adapters that few requests are for: each takes the slot of another adapter.
func TestRareAdaptersDoNotSpread(t *testing.T) {
	p := placement{mayExceed: true}
	is := is.New(t)
	is.Equal(p.copiesFor(&Refusal{QueueWait: time.Second, AdapterRequests: minSpreadRequests - 1}, false), 0)
	is.Equal(p.copiesFor(&Refusal{QueueWait: minCopyWait, AdapterRequests: 16}, true), 0)
	is.Equal(p.copiesFor(&Refusal{QueueWait: 2 * minCopyWait, AdapterRequests: 16}, false), 1)
	is.Equal(p.copiesFor(&Refusal{QueueWait: time.Second, AdapterRequests: 16}, false), maxCopiesAtOnce)
	p.mayExceed = false // a small pool is served as before
	is.Equal(p.copiesFor(&Refusal{QueueWait: time.Second, AdapterRequests: 16}, false), 0)
	is.Equal(p.copiesFor(&Refusal{QueueWait: time.Second, AdapterRequests: 16}, true), 1)
}
