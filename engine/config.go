package engine

import (
	"time"
)

// SchedulerConfig configures a [Scheduler]. Zero fields get their defaults.
type SchedulerConfig struct {
	Slots     int // adapter slots of the engine; default 8
	SwapSlots int // of those, slots that may change without a stored intent
	BatchSize int // maximum number of requests in the batch; default 16
	MaxQueue  int // maximum number of waiting requests; default 1024
	// LongShare is the largest share of the batch that long work may use;
	// default 0.5.
	LongShare float64
	// Ageing is the number of seconds of expected service time that one second
	// of waiting makes up for; default 0.5. With a large value the queue is
	// first-in first-out.
	Ageing float64
	// LongPenalty is added to the queue key of long work, in seconds; default 1.
	LongPenalty float64
	// BatchBonus is subtracted from the queue key of work whose adapter is
	// already in the batch, in seconds; default 0.02. It bounds how far such
	// work may overtake other work.
	BatchBonus float64
	// MaxLoads is the number of loads that the engine runs at once; default 1.
	MaxLoads int
	// HalfLife is the half-life of an adapter's popularity; default 2 minutes.
	HalfLife time.Duration
	// LRU evicts the least recently used adapter instead of the least popular.
	LRU bool
	// NeedsIntents is set for engines that ignore fencing tokens. Changes of
	// their stable slots need an intent: a record of the change, stored before the
	// commands are sent, that tells the next owner which adapters it may grant.
	NeedsIntents bool
	// ServesBase is set for engines that also serve their base model without an
	// adapter. It has the empty adapter name and takes no slot.
	ServesBase bool
	// PrefillSpeed is the number of prompt tokens that the engine prefills in the
	// time of one output token; default 64.
	PrefillSpeed int
	// SerialPrefill is set for engines that prefill one prompt at a time, so that
	// new work waits for the prompts of all granted work.
	SerialPrefill bool
	// TokenTime and LoadTime are the initial estimates; defaults 25 ms and 300 ms.
	TokenTime time.Duration
	LoadTime  time.Duration
	// ByCost makes the queue follow what delays and refusals cost callers: priority, target and account
	// (package schedule). Otherwise it follows the arrivals and the expected service times, and
	// priorities and accounts have no effect. See [Scheduler.SetByCost].
	ByCost bool
	// KVCapacity is the number of tokens that the engine's memory holds; 0 means unknown. By cost,
	// work is granted only while the tokens of all granted work fit.
	KVCapacity int
}

func (c SchedulerConfig) withDefaults() SchedulerConfig {
	c.Slots = orInt(c.Slots, 8)
	c.BatchSize = orInt(c.BatchSize, 16)
	c.MaxQueue = orInt(c.MaxQueue, 1024)
	c.MaxLoads = orInt(c.MaxLoads, 1)
	c.PrefillSpeed = orInt(c.PrefillSpeed, 64)
	c.LongShare = orFloat(c.LongShare, 0.5)
	c.Ageing = orFloat(c.Ageing, 0.5)
	c.LongPenalty = orFloat(c.LongPenalty, 1)
	c.BatchBonus = orFloat(c.BatchBonus, 0.02)
	c.HalfLife = orDuration(c.HalfLife, 2*time.Minute)
	c.TokenTime = orDuration(c.TokenTime, 25*time.Millisecond)
	c.LoadTime = orDuration(c.LoadTime, 300*time.Millisecond)
	return c
}

func orInt(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func orFloat(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

func orDuration(v, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return v
}
