package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func TestTakeoverGuard(t *testing.T) {
	const ttl, margin = 2500 * time.Millisecond, 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		setup   func(g *takeoverGuard)
		delay   time.Duration // when the takeover is attempted
		allowed bool
	}{
		{"no contact", func(*takeoverGuard) {}, 0, true},
		{"contact just now", func(g *takeoverGuard) { g.recordContact("p", t0) }, 0, false},
		{"contact a TTL ago", func(g *takeoverGuard) { g.recordContact("p", t0) }, ttl, false},
		{"contact a TTL and a margin ago", func(g *takeoverGuard) { g.recordContact("p", t0) }, ttl + margin, false},
		{"contact longer ago", func(g *takeoverGuard) { g.recordContact("p", t0) }, ttl + margin + 1, true},
		{"contact with another process", func(g *takeoverGuard) { g.recordContact("q", t0) }, 0, true},
		{"contact, and records expired since", func(g *takeoverGuard) {
			g.recordContact("p", t0)
			g.expire(t0.Add(ttl))
		}, ttl, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &takeoverGuard{TTL: ttl, Margin: margin}
			tt.setup(g)
			is.Equal(g.beginTakeover("p", t0.Add(tt.delay)), tt.allowed)
			// Once the takeover has begun, the owner can no longer rely on this node.
			is.Equal(g.recordContact("p", t0.Add(tt.delay)), !tt.allowed)
			g.expire(t0.Add(tt.delay + 2*ttl)) // the owner's lease may still be valid by the agreement of others
			is.Equal(g.recordContact("p", t0.Add(tt.delay)), !tt.allowed)
			g.cancelTakeover("p")
			is.True(g.recordContact("p", t0.Add(tt.delay)))
		})
	}
}
