//go:build !race

package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against take-ups that are rejected since a large part of a larger fleet ended at once, and with it every node
// that knew where the streams began. Streams must go on half as often as new ones begin.
func TestStreamsGoOnAfterManyNodesEndAtOnce(t *testing.T) {
	const daemons = 24
	for _, part := range []float64{0.3, 0.45, 0.6, 0.8} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			is := is.New(t)
			r := playVersionsOn(t, daemons, func(p *versionPlay) {
				for _, r := range p.replicas {
					r.EventTime = 150 * time.Millisecond
				}
				p.traffic.baseModelOnly = true
				p.during(1200, func() {
					for k := range 3 {
						time.Sleep(8 * time.Second)
						var ended []int
						for i := range int(part * daemons) {
							ended = append(ended, (i+k*daemons/3)%daemons)
						}
						p.kill(time.Second, ended...)
					}
				})
			})
			t.Logf("%d of %d requests served; %d streams taken up, %d went on, %d of two versions", r.Served, r.Requests, r.TakenUp, r.WentOn, r.MixedBuilds)
			is.True(r.TakenUp >= 12)
			is.Equal(r.MixedBuilds, 0)
			is.True(2*r.WentOn >= r.TakenUp)
		})
	}
}
