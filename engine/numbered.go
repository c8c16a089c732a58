package engine

import "strings"

// State is what an engine that numbers its orders reports of itself. It may be
// older than the last orders.
type State struct {
	Boot          string // differs for every start of the engine
	Sequence      int64  // orders accepted since the start
	ChangingModel bool   // a base model is being loaded or unloaded
	Models        []string
	Loaded        map[string]int64 // versions of adapters by "model/adapter"
	Loading       map[string]int64 // adapters on their way, likewise
	Running       int
	Waiting       int
}

// Command is one order to an engine that numbers its orders.
type Command struct {
	Load             bool   // load, else unload
	Model            string // base model
	Adapter          string // empty for the model itself
	Version          int64  // 0 means the newest
	ExpectedSequence int64  // the engine's sequence; the order has no effect at another one
	Token            int64  // fencing token
}

// Reply is an engine's answer to a command.
type Reply string

// The answers to a command.
const (
	Accepted         Reply = "accepted"  // the engine carries it out
	AlreadyDone      Reply = "already"   // it holds, or has been carried out at once
	Conflict         Reply = "conflict"  // another sequence or another order under way; nothing was done
	StaleToken       Reply = "fenced"    // the engine has seen a higher token
	WrongIncarnation Reply = "elsewhere" // another incarnation answered; nothing was done
)

// JoinAdapterName returns the name of an adapter of a model, and that of the model
// itself when the adapter is empty.
func JoinAdapterName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// SplitAdapterName splits what [JoinAdapterName] joined.
func SplitAdapterName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
