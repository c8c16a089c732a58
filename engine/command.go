package engine

import (
	"strings"
	"time"
)

// State is the reported state of a sequenced engine. It may be older than the
// last commands.
type State struct {
	Boot          string    // differs for every start of the engine
	StartedAt     time.Time // when the engine started, by its own clock; zero if unknown
	Build         string    // software version; empty if the report does not tell
	Sequence      int64     // number of commands accepted since the start
	ChangingModel bool      // a base model is being loaded or unloaded
	Models        []string
	Loaded        map[string]int64 // versions of loaded adapters by "model/adapter"
	Loading       map[string]int64 // versions of adapters that are being loaded, by the same key
	Running       int
	Waiting       int
}

// Command is a command to a sequenced engine. The engine accepts it only if
// ExpectedSequence equals the number of commands accepted so far.
type Command struct {
	Load             bool   // true to load, false to unload
	Model            string // base model
	Adapter          string // empty to load or unload the base model
	Version          int64  // 0 means the newest
	ExpectedSequence int64  // the command has no effect at another sequence number
	FencingToken     int64
	// OwnConnection is set if the command must get a connection that carries no other. Replies do
	// not name their command, so elsewhere a late copy of a reply may be taken for that to the
	// next one.
	OwnConnection bool
}

// Reply is an engine's reply to a [Command].
type Reply string

// The replies to a command.
const (
	Accepted    Reply = "accepted"  // the engine has started to execute the command
	AlreadyDone Reply = "already"   // the requested state holds already, or was reached at once
	Conflict    Reply = "conflict"  // wrong sequence number, or another command runs; no effect
	StaleToken  Reply = "fenced"    // the engine has seen a higher fencing token; no effect
	WrongServer Reply = "elsewhere" // a server with another ID replied; no effect
)

// JoinAdapterName returns "model/adapter", or the model's name if the adapter is
// empty.
func JoinAdapterName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// SplitAdapterName is the inverse of [JoinAdapterName].
func SplitAdapterName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
