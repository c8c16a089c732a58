package engine

import "time"

// ActionKind is the kind of an [Action].
type ActionKind string

// The kinds of action that a scheduler asks for.
const (
	Grant  ActionKind = "grant"  // the work may start
	Refuse ActionKind = "refuse" // the work will not run here
	// RequestLoad asks for a load from the budget; Permit or Deny answers it.
	RequestLoad ActionKind = "ask-load"
	Load        ActionKind = "load" // load Adapter, after unloading Victim if it is set
)

// RefusalReason tells why work was refused.
type RefusalReason string

// The reasons for a refusal.
const (
	Overflow   RefusalReason = "overflow"    // the wait here is longer than the entry node accepts
	Cold       RefusalReason = "cold"        // the adapter is not loaded, and the wait is longer than the entry node accepts
	QueueFull  RefusalReason = "queue-full"  // the queue has no room
	TooLate    RefusalReason = "too-late"    // the deadline cannot be met
	Draining   RefusalReason = "draining"    // the engine takes no new work
	NotLoaded  RefusalReason = "not-loaded"  // the adapter is not loaded and cannot be loaded now
	LoadFailed RefusalReason = "load-failed" // the adapter could not be loaded
	Recovering RefusalReason = "recovering"  // a new owner is still taking over
	Moved      RefusalReason = "moved"       // the engine is changing its owner
)

// LoadResult is the end of a load that a scheduler asked for.
type LoadResult struct {
	Adapter    string
	Victim     string
	VictimKept bool // the victim was not unloaded
	OK         bool // the adapter is loaded
}

// Action is what a scheduler asks its caller to do.
type Action struct {
	Kind       ActionKind
	Work       *Work         // Grant and Refuse
	Adapter    string        // Stats
	Victim     string        // Stats: the adapter to unload first, or empty
	Stable     bool          // Stats: the change touches a stable slot, so the intent must be written first
	Demand     int           // RequestLoad: how much work waits for the adapter that is wanted most
	Reason     RefusalReason // Refuse
	RetryAfter time.Duration // Refuse: when to come back
	Wait       time.Duration // Refuse: expected wait for this work here
}
