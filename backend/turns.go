package backend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	// turnsSettle is how long a node that begins to decide for a server gives out half of its
	// limit only, as another node may go on deciding until its view of the nodes has changed.
	turnsSettle = 6 * time.Second
	// turnsTTL is how long the turns of a server are remembered without a request for one.
	turnsTTL = time.Minute
	// maxTurnSpread bounds the time over which nodes that got no turn ask again.
	maxTurnSpread = 10 * time.Second
)

// Turns gives out the turns to send requests to servers that have limits. Each server has one
// node that decides. The zero value is ready to use.
type Turns struct {
	mu   sync.Mutex
	byID map[string]*serverTurns
}

type serverTurns struct {
	startMS   int64
	rate      engine.RateLimit
	began     time.Time
	lastAskAt time.Time
}

// Take takes a turn at a server with a limit. Without one, it returns when to ask again; nodes
// is the number of nodes that may ask.
func (t *Turns) Take(now time.Time, id string, l Limit, nodes int) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, _ := t.turns(now, id, l.StartMS)
	rate := max(engine.LeastRate, l.PerSecond)
	if now.Sub(s.began) < turnsSettle {
		rate /= 2
	}
	return s.take(now, rate, nodes)
}

// TakeOwnShare takes a turn while the node that decides cannot be reached. All nodes together
// then take half of the limit, beside the turns that it may go on giving out.
func (t *Turns) TakeOwnShare(now time.Time, id string, l Limit, nodes int) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, isNew := t.turns(now, id+"/own-share", l.StartMS)
	rate := l.PerSecond / float64(2*max(1, nodes))
	if isNew {
		s.rate.Set(now, rate, true)
		s.rate.Spare(rand.Float64()) // otherwise the first turns of all nodes would come at once
	}
	return s.take(now, rate, 1)
}

// turns returns the turns of an incarnation of a server, and whether they begin now. t.mu must
// be held.
func (t *Turns) turns(now time.Time, key string, startMS int64) (s *serverTurns, isNew bool) {
	s = t.byID[key]
	isNew = s == nil || s.startMS != startMS
	if isNew {
		for other, old := range t.byID {
			if now.Sub(old.lastAskAt) > turnsTTL {
				delete(t.byID, other)
			}
		}
		if t.byID == nil {
			t.byID = make(map[string]*serverTurns)
		}
		s = &serverTurns{startMS: startMS, began: now}
		t.byID[key] = s
	}
	s.lastAskAt = now
	return s, isNew
}

func (s *serverTurns) take(now time.Time, perSecond float64, nodes int) (wait time.Duration, ok bool) {
	s.rate.Set(now, perSecond, true)
	if s.rate.CanTake(now) {
		s.rate.Take(now)
		return 0, true
	}
	wait = min(maxTurnSpread, s.rate.Wait(now, 0))
	return wait + Jitter(min(maxTurnSpread, time.Duration(nodes)*wait/2)), false
}
