package table

import (
	"encoding/json"
	"slices"
)

// OwnerPrefix is the key prefix of ownership rows.
const OwnerPrefix = "owner/"

// Owner is the value of an engine's ownership row.
//
// StableAdapters lists the adapters that neither the current owner nor a former one
// can unload without first writing this row. A change to the list is the intent
// of the commands that follow it: an adapter is removed from the list before it is
// unloaded and added before it is loaded. The engine's other adapters are in swap slots,
// which may change without a write.
type Owner struct {
	Engine       string `json:"engine"`
	Node         string `json:"node"` // name of the owner; empty when released
	Process      string `json:"process"`
	Epoch        int64  `json:"epoch"`
	Address      string `json:"address"`              // address of the node for peers
	FencingToken int64  `json:"token"`                // increases with each takeover
	Generation   int64  `json:"generation,omitempty"` // of the table, in which the row was written
	// LastNode is the last node that could send commands. It is kept when the
	// engine is released.
	LastNode string `json:"last-node,omitempty"`
	// HandoverDelayMS is how long after the release the next owner must not send
	// commands. It is set when the releasing node had taken over only shortly before. In the row
	// of an owner it is how long that one sends none after its takeover.
	HandoverDelayMS int64 `json:"settle-ms,omitempty"`
	// LateLoads lists the loads without a reply that the engine may still execute, of the owner and those before
	// it. LateLoadsKnown is set if the last owner before released the engine and knew them all.
	LateLoads      []LateLoad `json:"late-loads,omitempty"`
	LateLoadsKnown bool       `json:"late-loads-known,omitempty"`
	StableAdapters []string   `json:"stable,omitempty"`
	// FormerOwners lists processes of former owners that may still send commands.
	FormerOwners []FormerOwner `json:"suspects,omitempty"`
}

// LateLoad is a load command without a reply.
type LateLoad struct {
	ExpectedSequence int64 `json:"expected"`
	SentMS           int64 `json:"sent-ms"` // Unix time by the sender's clock
}

// FormerOwner is a process that owned the engine before and may still send
// commands.
type FormerOwner struct {
	Node         string `json:"node"`
	Process      string `json:"process"`
	Address      string `json:"address"`
	FencingToken int64  `json:"token"`
}

// tokensPerGeneration is the number of fencing tokens of an engine in one generation of the
// table: more than its takeovers can be.
const tokensPerGeneration = 1 << 20

// NextFencingToken returns the token of the next owner. It is higher than all tokens of
// earlier generations of the table, also of those whose rows a restore has lost.
func (o Owner) NextFencingToken(generation int64) int64 {
	return max(o.FencingToken, (generation-1)*tokensPerGeneration) + 1
}

// Key returns the key of the row.
func (o Owner) Key() string { return OwnerPrefix + o.Engine }

// Encode returns the row's value.
func (o Owner) Encode() []byte { return encode(o) }

// WithStableChange returns a copy with one adapter removed from StableAdapters and one
// added to it. Empty names are ignored.
func (o Owner) WithStableChange(removed, added string) Owner {
	stable := slices.DeleteFunc(slices.Clone(o.StableAdapters), func(a string) bool { return a == removed })
	if added != "" && !slices.Contains(stable, added) {
		stable = append(stable, added)
	}
	o.StableAdapters = stable
	return o
}

// WithoutFormerOwner returns a copy in which FormerOwners lacks the given process.
func (o Owner) WithoutFormerOwner(process string) Owner {
	o.FormerOwners = slices.DeleteFunc(slices.Clone(o.FormerOwners), func(f FormerOwner) bool { return f.Process == process })
	return o
}

// DecodeOwner decodes an ownership row.
func DecodeOwner(row Row) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return Owner{}, &Error{Op: "decode owner", Kind: Malformed, Key: row.Key, Err: err}
	}
	return o, nil
}
