//go:build !race

package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against refusals of requests within the quota, and against too many messages, while an
// account uses 55% of its quota at all of 75 nodes.
func TestQuotaInCalmRefusesNothing(t *testing.T) {
	for name, q := range map[string]route.Quota{"hot": hotQuota, "large": {PerSecond: 52_655, Burst: 189_556}, "medium": {PerSecond: 29_000, Burst: 68_866}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPlayedQuota(75, q)
				defer p.close()
				time.Sleep(12 * time.Second)
				p.play(10*time.Second, 0.55*q.PerSecond)
				p.resetCounts()
				p.play(20*time.Second, 0.55*q.PerSecond)
				is.Equal(p.refused, 0)
				p.checkRule(t)
			})
		})
	}
}

// Guards against an allowance that stays unused while it is asked for, at few nodes or unevenly
// many, and against refusals that cost messages.
func TestQuotaIsUsedWhenHot(t *testing.T) {
	few := make([]float64, 25)
	few[0] = 1
	for name, shares := range map[string][]float64{"even": {1}, "uneven": {8, 1, 1, 3, 0.5}, "few": few} {
		for _, times := range []float64{1.2, 5, 7} {
			t.Run(fmt.Sprintf("%s-%v", name, times), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := newPlayedQuota(75, hotQuota)
					p.shares = shares
					defer p.close()
					time.Sleep(12 * time.Second)
					p.play(5*time.Second, times*hotQuota.PerSecond)
					p.resetCounts()
					start := time.Now()
					p.play(15*time.Second, times*hotQuota.PerSecond)
					used, _ := p.admittedSince(start, 0)
					used /= hotQuota.PerSecond * time.Since(start).Seconds()
					t.Logf("used %.3f", used)
					is.True(used >= 0.9)
					p.checkRule(t)
				})
			})
		}
	}
}
