//go:build !race

package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// In calm, a node's calls to the store must not grow with the number
// of nodes, since the store's calls are shared by all. Built without the race
// detector, whose runtime does not survive so many events; .ci/run plays it apart.
func TestStoreCallsPerNode(t *testing.T) {
	const (
		seconds          = 20
		maxWritesPerNode = 0.25 * seconds // a renewal every five seconds
	)
	for nodes, maxReadsPerNode := range map[int]float64{
		7:   0.55 * seconds, // a read of the sessions every two seconds
		90:  0.3 * seconds,  // every four
		200: 0.3 * seconds,
	} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaseCluster(nodes, nodes)
				defer c.close()
				time.Sleep(20 * time.Second) // until every engine has its owner
				count := func() (reads, writes int64) {
					for _, n := range c.nodes {
						r, w, _ := n.table.Counts()
						reads, writes = reads+r, writes+w
					}
					return reads, writes
				}
				readsBefore, writesBefore := count()
				time.Sleep(seconds * time.Second)
				reads, writes := count()
				r, w := float64(reads-readsBefore)/float64(nodes), float64(writes-writesBefore)/float64(nodes)
				t.Logf("%d nodes: %.2f reads and %.2f writes a node and second", nodes, r/seconds, w/seconds)
				is.True(r <= maxReadsPerNode)
				is.True(w <= maxWritesPerNode)
			})
		})
	}
}
