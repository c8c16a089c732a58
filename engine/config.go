package engine

import (
	"time"
)

// SchedulerConfig sizes a scheduler. Zero fields take defaults.
type SchedulerConfig struct {
	Slots     int // adapters that the engine holds
	SwapSlots int // of those, slots that may change without an intent
	BatchSize int // places in the batch
	MaxQueue  int // waiting requests; default 1024
	// LongShare is the largest share of the places that long work may hold;
	// default 0.5.
	LongShare float64
	// Ageing is how many seconds of expected work one second of waiting
	// outweighs; default 0.5. A large value makes the queue first-in first-out.
	Ageing float64
	// LongPenalty is added to the queue key of long work, in seconds; default 1.
	LongPenalty float64
	// BatchBonus is taken from the queue key of work whose adapter is already
	// in the batch, in seconds, which bounds how long it may overtake; default 0.02.
	BatchBonus float64
	// MaxLoads is how many loads the engine does at once; default 1.
	MaxLoads int
	// HalfLife is the half-life of an adapter's popularity; default 2 minutes.
	HalfLife time.Duration
	// LRU evicts the least recently used adapter instead of the least popular.
	LRU bool
	// NeedsIntents is set for engines that ignore fencing tokens.
	NeedsIntents bool
	// ServesBase is set for engines that also serve their base model itself, as
	// the adapter without a name. It takes no slot.
	ServesBase bool
	// PrefillSpeed is how many prompt tokens the engine reads in the time of one
	// output token; default 64.
	PrefillSpeed int
	// SerialPrefill is set for engines that read prompts one after another, so
	// that the prompts that were granted hold up the next.
	SerialPrefill bool
	// TokenTime and LoadTime are the first estimates; defaults 25 ms and 300 ms.
	TokenTime time.Duration
	LoadTime  time.Duration
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
