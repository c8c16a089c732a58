package listen

import (
	"math"
	"time"
)

const (
	// unreadHalfLife is the time after which a connection that was ended counts half.
	unreadHalfLife = 5 * time.Second
	// unreadAllowed is the number of recently ended connections that halves the time for the next.
	unreadAllowed = 4
	// unreadSteps divides the time: it is never shorter than one step, and progress is looked for
	// after each.
	unreadSteps = 8
)

// patience decides how long a client may take nothing of what is sent. Each response that is not read
// holds a slot of an engine. A single client gets the whole time; while many do not read, each gets less,
// so that the slots come back. It answers the load of a crowd that opens streams and reads none.
type patience struct {
	longest time.Duration
	score   float64 // ended connections, each counting half after unreadHalfLife
	at      time.Time
}

// limit returns the time at a moment.
func (p *patience) limit(now time.Time) time.Duration {
	d := time.Duration(float64(p.longest) / (1 + p.scoreAt(now)/unreadAllowed))
	return max(d, p.step())
}

// step returns the time between two looks for progress.
func (p *patience) step() time.Duration { return p.longest / unreadSteps }

// add records a connection that was ended.
func (p *patience) add(now time.Time) { p.score, p.at = p.scoreAt(now)+1, now }

func (p *patience) scoreAt(now time.Time) float64 {
	return p.score * math.Exp2(-now.Sub(p.at).Seconds()/unreadHalfLife.Seconds())
}
