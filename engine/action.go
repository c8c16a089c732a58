package engine

import "time"

// ActionKind is the kind of an [Action].
type ActionKind string

// The kinds of action that a scheduler returns.
const (
	Grant  ActionKind = "grant"  // the work may start
	Refuse ActionKind = "refuse" // the work is rejected by this engine
	// RequestLoad requests a load from the load budget. The caller responds with
	// [Scheduler.ApproveLoad] or [Scheduler.DenyLoad].
	RequestLoad ActionKind = "ask-load"
	Load        ActionKind = "load" // load Adapter, after unloading Victim if that is set
)

// RefusalReason is the reason why a scheduler refuses work.
type RefusalReason string

// The reasons for a refusal.
const (
	Overflow      RefusalReason = "overflow"    // the expected wait exceeds Work.MaxWait
	Cold          RefusalReason = "cold"        // as Overflow, and the adapter is not loaded
	QueueFull     RefusalReason = "queue-full"  // the queue has reached its maximum length
	DeadlineUnmet RefusalReason = "too-late"    // a deadline cannot be met
	Displaced     RefusalReason = "displaced"   // it waited, and more urgent work needs its place
	Draining      RefusalReason = "draining"    // the engine is draining
	NotLoaded     RefusalReason = "not-loaded"  // the adapter is not loaded and cannot be loaded now
	Limited       RefusalReason = "limited"     // the engine's limit on its requests does not allow it in time
	LoadFailed    RefusalReason = "load-failed" // the adapter could not be loaded
	Recovering    RefusalReason = "recovering"  // a new owner has not finished its takeover
	NoOwner       RefusalReason = "moved"       // the engine changes its owner, or the owner cannot be reached
)

// LoadResult is the outcome of a [Load] action.
type LoadResult struct {
	Adapter    string
	Victim     string
	VictimKept bool // the victim was not unloaded
	OK         bool // the adapter is loaded
}

// Action is an instruction from a scheduler to its caller.
type Action struct {
	Kind       ActionKind
	Work       *Work         // Grant and Refuse
	Adapter    string        // Load
	Victim     string        // Load: the adapter to unload first, or empty
	Stable     bool          // Load: changes a stable slot, so an intent must be stored first
	Demand     int           // RequestLoad: requests that wait for the adapter to be loaded next
	Reason     RefusalReason // Refuse
	RetryAfter time.Duration // Refuse: minimum delay before a retry
	Wait       time.Duration // Refuse: expected queue wait at this engine
	// AdapterRequests is the number of requests for the work's adapter that run or wait at this
	// engine (Refuse).
	AdapterRequests int
	// Hold is, by cost, how long like work that is not more urgent is refused as well. With IsOverShare,
	// this holds only for work of its account.
	Hold        time.Duration
	IsOverShare bool
}
