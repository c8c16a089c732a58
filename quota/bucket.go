package quota

import "time"

// bucket is a token bucket. Its level is below 0 after an expense of more than the capacity.
type bucket struct {
	level float64
	at    time.Time
}

// advance adds what the limit has allowed since the last call.
func (b *bucket) advance(now time.Time, l Limit) {
	b.fill(now, l)
	b.clip(l)
}

// fill adds without regard to the capacity. The time before a level was set does not count.
func (b *bucket) fill(now time.Time, l Limit) {
	if d := now.Sub(b.at); d > 0 {
		if !b.at.IsZero() {
			b.level += l.PerSecond * d.Seconds()
		}
		b.at = now
	}
}

func (b *bucket) clip(l Limit) { b.level = min(b.level, l.capacity()) }
