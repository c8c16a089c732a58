package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func TestConsents(t *testing.T) {
	const ttl, margin = 2500 * time.Millisecond, 300 * time.Millisecond
	for _, tt := range []struct {
		name string
		do   func(c *consents)
		at   time.Duration // when the taking is tried
		take bool
	}{
		{"never heard", func(*consents) {}, 0, true},
		{"heard just now", func(c *consents) { c.hear("p", t0) }, 0, false},
		{"heard a lease ago", func(c *consents) { c.hear("p", t0) }, ttl, false},
		{"heard a lease and a margin ago", func(c *consents) { c.hear("p", t0) }, ttl + margin, false},
		{"heard longer ago", func(c *consents) { c.hear("p", t0) }, ttl + margin + 1, true},
		{"another process was heard", func(c *consents) { c.hear("q", t0) }, 0, true},
		{"heard, and the row removed since", func(c *consents) {
			c.hear("p", t0)
			c.expire(t0.Add(ttl))
		}, ttl, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &consents{TTL: ttl, Margin: margin}
			tt.do(c)
			is.Equal(c.beginTaking("p", t0.Add(tt.at)), tt.take)
			// Once the taking has begun, the holder cannot rely on this node any more.
			is.Equal(c.hear("p", t0.Add(tt.at)), !tt.take)
			c.expire(t0.Add(tt.at + 2*ttl)) // its lease may still be valid on others' word
			is.Equal(c.hear("p", t0.Add(tt.at)), !tt.take)
			c.abandonTaking("p")
			is.True(c.hear("p", t0.Add(tt.at)))
		})
	}
}
