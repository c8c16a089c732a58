package engine

import (
	"cmp"
	"slices"
	"time"
)

// RouterConfig configures a [Router]. Zero fields get their defaults.
type RouterConfig struct {
	Candidates int // number of candidate engines of an adapter without overflow; default 3
	// ShortWait and LongWait are the longest queue waits that short and long work
	// accepts before the entry node tries the next candidate; defaults 50 ms and
	// 500 ms.
	ShortWait time.Duration
	LongWait  time.Duration
	// SlowFactor is the ratio of an engine's token time to the median above which
	// the engine counts as slow; default 2.5.
	SlowFactor float64
	// ProbeInterval is the interval at which a slow engine still gets a request, so
	// that its recovery is detected; default 1 s.
	ProbeInterval time.Duration
	// HedgeShare is the largest share of tokens that may be spent on second
	// attempts, which are hedges and migrations; default 0.03.
	HedgeShare float64
	// ObservationTTL is how long a measured token time stays valid; default 3 s.
	// Queue waits stay valid for a tenth of it.
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
	medianInterval   = 100 * time.Millisecond
	minMedianEngines = 3 // minimum number of engines with a valid token time for a median
)

const (
	// hedgeTokens is the assumed cost of a speculative attempt, in tokens: its prompt,
	// and its output until one of the two attempts is cancelled.
	hedgeTokens = 12
	// hedgeBurst is the maximum credit for speculative attempts, in tokens.
	hedgeBurst = 50 * hedgeTokens
)

// Router chooses the engines for an adapter at an entry node. It detects slow
// engines by the token times measured at this node, since load reports arrive
// too late for that.
type Router struct {
	cfg     RouterConfig
	engines map[string]*engineView
	median  time.Duration // median token time of the engines
	// medianAt is the time of the last update of the median, and medianEngines the
	// number of engines that it covers.
	medianAt      time.Time
	medianEngines int
	extras        map[string]extraCandidates // adapters that overflowed their candidates
	hedges        ProportionalBudget
}

// engineView is an entry node's knowledge of one engine.
type engineView struct {
	tokenTime   time.Duration // moving average of the time between tokens
	tokenTimeAt time.Time     // last measurement of the token time
	slow        bool
	probedAt    time.Time
	wait        time.Duration // last queue wait reported by the owner
	waitAt      time.Time
	joins       queueJoins
	drained     bool
}

// NewRouter returns a router without observations.
func NewRouter(cfg RouterConfig) *Router {
	cfg = cfg.withDefaults()
	return &Router{cfg: cfg, engines: make(map[string]*engineView), hedges: ProportionalBudget{Share: cfg.HedgeShare, Burst: hedgeBurst}, extras: make(map[string]extraCandidates)}
}

func (r *Router) view(name string) *engineView {
	v := r.engines[name]
	if v == nil {
		v = &engineView{}
		r.engines[name] = v
	}
	return v
}

// SetDrained records whether an engine is drained. Drained engines are not
// candidates.
func (r *Router) SetDrained(name string, drained bool) { r.view(name).drained = drained }

// MaxWait returns the longest queue wait that work accepts at a candidate.
func (r *Router) MaxWait(short bool) time.Duration {
	if short {
		return r.cfg.ShortWait
	}
	return r.cfg.LongWait
}

// AddHedgeCredit adds the credit for speculative attempts that a request with the
// given expected number of tokens earns.
func (r *Router) AddHedgeCredit(tokens int) { r.hedges.Credit(float64(tokens)) }

// Candidates returns the engines to try for an adapter, best first.
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

// extraCandidates is the number of candidates that an adapter has beyond the
// configured number.
type extraCandidates struct {
	n         int
	changedAt time.Time // last change of n
}

const (
	extraGrowInterval  = 250 * time.Millisecond // minimum interval between two increments
	extraDecayInterval = 20 * time.Second       // time without overflow until a decrement
	maxExtras          = 1024                   // maximum number of adapters with extra candidates
)

// RecordOverflow records that all candidates of an adapter have it loaded and
// refused work because of their queue waits. It adds one candidate. It must not
// be called while the adapter is cold at a candidate: another candidate would
// only cost another load.
func (r *Router) RecordOverflow(now time.Time, adapter string) {
	extra, ok := r.extras[adapter]
	if !ok && len(r.extras) >= maxExtras {
		return
	}
	if ok && now.Sub(extra.changedAt) < extraGrowInterval {
		return
	}
	r.extras[adapter] = extraCandidates{extra.n + 1, now}
}

func (r *Router) extra(now time.Time, adapter string) int {
	extra, ok := r.extras[adapter]
	if !ok {
		return 0
	}
	if steps := int(now.Sub(extra.changedAt) / extraDecayInterval); steps > 0 {
		extra = extraCandidates{max(0, extra.n-steps), now}
		r.extras[adapter] = extra
	}
	if extra.n == 0 {
		delete(r.extras, adapter)
	}
	return extra.n
}

// penalty ranks an engine by its state: 0 for normal, 1 for a queue wait above
// the limit, 2 for slow. A slow engine that is due for a probe ranks as normal.
func (r *Router) penalty(now time.Time, name string, limit time.Duration) int {
	v := r.engines[name]
	if v == nil {
		return 0
	}
	if v.slow {
		if now.Sub(v.probedAt) > r.cfg.ProbeInterval {
			v.probedAt = now
			return 0
		}
		return 2
	}
	if v.wait > limit && now.Sub(v.waitAt) < r.cfg.ObservationTTL/10 {
		return 1
	}
	return 0
}

// ObserveWait records the queue wait reported by an engine's owner.
func (r *Router) ObserveWait(now time.Time, name string, wait time.Duration) {
	v := r.view(name)
	v.wait, v.waitAt = wait, now
}

// LastWait returns what remains of the queue wait that an engine's owner last
// reported, or 0 if the report is too old.
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
	if v.tokenTime == 0 || now.Sub(v.tokenTimeAt) > r.cfg.ObservationTTL {
		v.tokenTime = d
	}
	v.tokenTimeAt = now
	v.tokenTime += time.Duration(2 * ewmaWeight * float64(d-v.tokenTime))
	r.updateSlow(now, v)
}

// updateSlow compares an engine's token time with the median. The median is
// updated only every medianInterval, since a node sees tens of thousands of
// tokens per second.
func (r *Router) updateSlow(now time.Time, v *engineView) {
	if now.Sub(r.medianAt) >= medianInterval {
		r.updateMedian(now)
	}
	v.slow = r.medianEngines >= minMedianEngines && float64(v.tokenTime) > r.cfg.SlowFactor*float64(r.median)
}

func (r *Router) updateMedian(now time.Time) {
	r.medianAt = now
	times := make([]time.Duration, 0, len(r.engines))
	for _, v := range r.engines {
		if v.tokenTime > 0 && now.Sub(v.tokenTimeAt) < r.cfg.ObservationTTL {
			times = append(times, v.tokenTime)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	r.median, r.medianEngines = times[len(times)/2], len(times)
}

// Slow reports whether the engine counts as slow.
func (r *Router) Slow(name string) bool {
	v := r.engines[name]
	return v != nil && v.slow
}

// MedianTokenTime returns the median token time of the engines.
func (r *Router) MedianTokenTime() time.Duration { return r.median }

// TryHedge takes the credit for a speculative attempt and reports whether there was
// enough.
func (r *Router) TryHedge() bool { return r.hedges.TrySpend(hedgeTokens) }

// MigrationGain returns the time that migrating a stream with the given number of
// remaining tokens to another engine would save. The new engine's queue wait is
// not included. A result of zero or less means that the stream should stay.
//
// Migration pays off if the engine is slow, the stream's own last gap between
// tokens is slow too, and the remaining tokens would take longer than a restart
// at another engine. The stream's own gap is needed because the measurements of
// an engine that gets no work are out of date.
func (r *Router) MigrationGain(name string, gap time.Duration, remaining int, restart time.Duration) time.Duration {
	v := r.engines[name]
	if v == nil || !v.slow || r.median == 0 || float64(gap) < r.cfg.SlowFactor*float64(r.median) {
		return 0
	}
	return (gap-r.median)*time.Duration(remaining) - restart
}

// RefundHedge returns the credit for a speculative attempt that found no engine.
func (r *Router) RefundHedge() { r.hedges.Credit(hedgeTokens / r.cfg.HedgeShare) }
