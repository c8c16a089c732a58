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
		name string
		do   func(c *takeoverGuard)
		at   time.Duration // when the takeover is attempted
		take bool
	}{
		{"never heard", func(*takeoverGuard) {}, 0, true},
		{"heard just now", func(c *takeoverGuard) { c.recordContact("p", t0) }, 0, false},
		{"heard a lease ago", func(c *takeoverGuard) { c.recordContact("p", t0) }, ttl, false},
		{"heard a lease and a margin ago", func(c *takeoverGuard) { c.recordContact("p", t0) }, ttl + margin, false},
		{"heard longer ago", func(c *takeoverGuard) { c.recordContact("p", t0) }, ttl + margin + 1, true},
		{"another process was heard", func(c *takeoverGuard) { c.recordContact("q", t0) }, 0, true},
		{"heard, and the row removed since", func(c *takeoverGuard) {
			c.recordContact("p", t0)
			c.expire(t0.Add(ttl))
		}, ttl, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &takeoverGuard{TTL: ttl, Margin: margin}
			tt.do(c)
			is.Equal(c.beginTakeover("p", t0.Add(tt.at)), tt.take)
			// Once the takeover has begun, the owner can no longer rely on this node.
			is.Equal(c.recordContact("p", t0.Add(tt.at)), !tt.take)
			c.expire(t0.Add(tt.at + 2*ttl)) // the owner's lease may still be valid by the agreement of others
			is.Equal(c.recordContact("p", t0.Add(tt.at)), !tt.take)
			c.cancelTakeover("p")
			is.True(c.recordContact("p", t0.Add(tt.at)))
		})
	}
}
