package engine

import "strings"

// State is what an engine that numbers its orders reports of itself. It may be
// older than the last orders.
type State struct {
	Boot     string // differs for every start of the engine
	Sequence int64  // orders accepted since the start
	Busy     bool   // a base model is being loaded or unloaded
	Models   []string
	Loaded   map[string]int64 // versions of adapters by "model/adapter"
	Coming   map[string]int64 // adapters on their way, likewise
	Running  int
	Waiting  int
}

// Command is one order to an engine that numbers its orders.
type Command struct {
	Load     bool   // load, else unload
	Model    string // base model
	Adapter  string // empty for the model itself
	Version  int64  // 0 means the newest
	Expected int64  // the engine's sequence; the order has no effect at another one
	Token    int64  // fencing token
}

// Reply is an engine's answer to a command.
type Reply string

// The answers to a command.
const (
	Accepted  Reply = "accepted"  // the engine carries it out
	Already   Reply = "already"   // it holds, or has been carried out at once
	Deferred  Reply = "conflict"  // another sequence or another order under way; nothing was done
	StaleCall Reply = "fenced"    // the engine has seen a higher token
	Elsewhere Reply = "elsewhere" // another incarnation answered; nothing was done
)

// JoinName returns the name of an adapter of a model, and that of the model
// itself when the adapter is empty.
func JoinName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// SplitName splits what [JoinName] joined.
func SplitName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
