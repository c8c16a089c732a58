package engine

import (
	"cmp"
	"slices"
	"time"
)

// RouterConfig sets the policy of a [Router]. Zero fields take defaults.
type RouterConfig struct {
	Candidates int // engines that an adapter may be spread over; default 3
	// ShortWait and LongWait are the queue waits at which an entry node asks
	// the next choice; defaults 50 ms and 500 ms.
	ShortWait time.Duration
	LongWait  time.Duration
	// SlowFactor is how many times slower than the median an engine must be
	// to be passed over; default 2.5.
	SlowFactor float64
	// ProbeInterval is how often a slow engine gets a request all the same;
	// default 1 s.
	ProbeInterval time.Duration
	// HedgeShare is the largest share of tokens that may be spent on second
	// attempts, whether hedges or moves; default 0.03.
	HedgeShare float64
	// ObservationTTL is how long an observation counts; default 3 s.
	ObservationTTL time.Duration
}

func (c RouterConfig) withDefaults() RouterConfig {
	c.Candidates = orInt(c.Candidates, 3)
	c.ShortWait = orDuration(c.ShortWait, 50*time.Millisecond)
	c.LongWait = orDuration(c.LongWait, 500*time.Millisecond)
	c.SlowFactor = orFloat(c.SlowFactor, 2.5)
	c.ProbeInterval = orDuration(c.ProbeInterval, time.Second)
	c.HedgeShare = orFloat(c.HedgeShare, 0.03)
	c.ObservationTTL = orDuration(c.ObservationTTL, 3*time.Second)
	return c
}

const (
	medianEvery = 100 * time.Millisecond
	minCompared = 3 // fewer engines are not compared
)

const (
	// hedgeTokens is what a second attempt is taken to cost: its prompt, and the
	// tokens until one of the two is cancelled.
	hedgeTokens = 12
	// hedgeBurst is how many tokens may be saved up for second attempts.
	hedgeBurst = 50 * hedgeTokens
)

// Router decides at an entry node which engines to ask for an adapter. It
// judges engines by the times that this node measured itself, since load
// reports tell of slow spells late.
type Router struct {
	cfg     RouterConfig
	engines map[string]*engineView
	median  time.Duration // median time between tokens over the engines
	// medianAt is when the median was worked out, over compared engines.
	medianAt time.Time
	compared int
	spread   map[string]spread // adapters that overflowed their first choices
	hedges   ProportionalBudget
}

// engineView is what an entry node knows of one engine.
type engineView struct {
	token   time.Duration // moving average of the time between tokens
	seen    time.Time     // last observation
	slow    bool
	probed  time.Time
	wait    time.Duration // queue wait that the owner last named
	waitAt  time.Time
	drained bool
}

// NewRouter returns a router that knows no engine.
func NewRouter(cfg RouterConfig) *Router {
	cfg = cfg.withDefaults()
	return &Router{cfg: cfg, engines: make(map[string]*engineView), hedges: ProportionalBudget{Share: cfg.HedgeShare, Burst: hedgeBurst}, spread: make(map[string]spread)}
}

func (r *Router) view(name string) *engineView {
	v := r.engines[name]
	if v == nil {
		v = &engineView{}
		r.engines[name] = v
	}
	return v
}

// SetDrained records that an engine takes no new work.
func (r *Router) SetDrained(name string, drained bool) { r.view(name).drained = drained }

// MaxWait returns the queue wait that work accepts at its first choices.
func (r *Router) MaxWait(short bool) time.Duration {
	if short {
		return r.cfg.ShortWait
	}
	return r.cfg.LongWait
}

// AddHedgeCredit counts a request with the given expected tokens towards the budget for
// second attempts.
func (r *Router) AddHedgeCredit(tokens int) { r.hedges.Credit(float64(tokens)) }

// Candidates returns the engines to ask for an adapter, best first.
func (r *Router) Candidates(now time.Time, adapter string, engines []string, short bool) []string {
	live := make([]string, 0, len(engines))
	for _, e := range engines {
		if v := r.engines[e]; v == nil || !v.drained {
			live = append(live, e)
		}
	}
	picks := Rendezvous(adapter, live, nil, r.cfg.Candidates+r.extra(now, adapter))
	limit := r.MaxWait(short)
	rank := make(map[string]int, len(picks))
	for i, e := range picks {
		rank[e] = i + len(picks)*r.penalty(now, e, limit)
	}
	slices.SortStableFunc(picks, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	return picks
}

// spread is how many engines beyond the first choices an adapter needs.
type spread struct {
	extra int
	at    time.Time // when it last grew or shrank
}

const (
	spreadGrow   = 250 * time.Millisecond // shortest time between two steps up
	spreadShrink = 20 * time.Second       // without overflow, one step down
	spreadKept   = 1024                   // adapters that are remembered
)

// RecordOverflow records that every choice of an adapter holds it and named a wait
// that was too long. The adapter is then spread over one engine more. While a
// choice is cold, more engines would only cost more loads.
func (r *Router) RecordOverflow(now time.Time, adapter string) {
	s, ok := r.spread[adapter]
	if !ok && len(r.spread) >= spreadKept {
		return
	}
	if ok && now.Sub(s.at) < spreadGrow {
		return
	}
	r.spread[adapter] = spread{s.extra + 1, now}
}

func (r *Router) extra(now time.Time, adapter string) int {
	s, ok := r.spread[adapter]
	if !ok {
		return 0
	}
	if steps := int(now.Sub(s.at) / spreadShrink); steps > 0 {
		s = spread{max(0, s.extra-steps), now}
		r.spread[adapter] = s
	}
	if s.extra == 0 {
		delete(r.spread, adapter)
	}
	return s.extra
}

// penalty puts busy engines behind idle ones and slow engines last.
func (r *Router) penalty(now time.Time, name string, limit time.Duration) int {
	v := r.engines[name]
	if v == nil {
		return 0
	}
	if v.slow {
		if now.Sub(v.probed) > r.cfg.ProbeInterval {
			v.probed = now
			return 0
		}
		return 2
	}
	if v.wait > limit && now.Sub(v.waitAt) < r.cfg.ObservationTTL/10 {
		return 1
	}
	return 0
}

// ObserveWait records the queue wait that an engine's owner named.
func (r *Router) ObserveWait(now time.Time, name string, wait time.Duration) {
	v := r.view(name)
	v.wait, v.waitAt = wait, now
}

// LastWait returns the queue wait that an engine's owner named lately, or 0.
func (r *Router) LastWait(now time.Time, name string) time.Duration {
	v := r.engines[name]
	if v == nil || now.Sub(v.waitAt) > r.cfg.ObservationTTL/10 {
		return 0
	}
	return max(0, v.wait-now.Sub(v.waitAt))
}

// ObserveTokenTime records a measured time between tokens.
func (r *Router) ObserveTokenTime(now time.Time, name string, d time.Duration) {
	v := r.view(name)
	if v.token == 0 || now.Sub(v.seen) > r.cfg.ObservationTTL {
		v.token = d
	}
	v.seen = now
	v.token += time.Duration(2 * estimateWeight * float64(d-v.token))
	r.judge(now, v)
}

// judge compares an engine with the median, which is worked out anew only
// now and then: a node sees tens of thousands of tokens a second.
func (r *Router) judge(now time.Time, v *engineView) {
	if now.Sub(r.medianAt) >= medianEvery {
		r.updateMedian(now)
	}
	v.slow = r.compared >= minCompared && float64(v.token) > r.cfg.SlowFactor*float64(r.median)
}

func (r *Router) updateMedian(now time.Time) {
	r.medianAt = now
	tokens := make([]time.Duration, 0, len(r.engines))
	for _, o := range r.engines {
		if o.token > 0 && now.Sub(o.seen) < r.cfg.ObservationTTL {
			tokens = append(tokens, o.token)
		}
	}
	if len(tokens) == 0 {
		return
	}
	slices.Sort(tokens)
	r.median, r.compared = tokens[len(tokens)/2], len(tokens)
}

// Slow reports whether the engine is being passed over.
func (r *Router) Slow(name string) bool {
	v := r.engines[name]
	return v != nil && v.slow
}

// MedianTokenTime returns the median time between tokens over the engines.
func (r *Router) MedianTokenTime() time.Duration { return r.median }

// TryHedge takes a second attempt from the budget, or reports that too little
// is left.
func (r *Router) TryHedge() bool { return r.hedges.TrySpend(hedgeTokens) }

// MigrationGain looks at whether a stream with remaining tokens to come should go
// on at another engine. It should when the engine is slow, the stream itself
// was last served with a gap that shows it, and the rest of the answer would
// take longer there than a restart elsewhere costs. The stream's own gap
// matters, since what is known of an engine that gets no work is old.
//
// The result is the time that a move would save, of which the new engine's
// queue may take a part; zero or less means stay.
func (r *Router) MigrationGain(name string, gap time.Duration, remaining int, restart time.Duration) time.Duration {
	v := r.engines[name]
	if v == nil || !v.slow || r.median == 0 || float64(gap) < r.cfg.SlowFactor*float64(r.median) {
		return 0
	}
	return (gap-r.median)*time.Duration(remaining) - restart
}

// RefundHedge gives a second attempt back that found no engine.
func (r *Router) RefundHedge() { r.hedges.Credit(hedgeTokens / r.cfg.HedgeShare) }
