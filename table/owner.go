package table

import (
	"encoding/json"
	"slices"
)

// OwnerPrefix is the key prefix of ownership rows.
const OwnerPrefix = "owner/"

// Owner is the value of an engine's ownership row.
//
// Stable lists the adapters that an order of the present owner, or of one
// before it, cannot remove without first writing this row. A change to the
// list is the intent that covers the orders that follow it: an adapter leaves
// the list before it is unloaded, and enters it before it is loaded. What the
// engine holds beyond the list sits in swap slots, which may change without a
// write.
type Owner struct {
	Engine  string `json:"engine"`
	Node    string `json:"node"` // empty when released
	Process string `json:"process"`
	Epoch   int64  `json:"epoch"`
	Address string `json:"address"` // of the node, for peers
	Token   int64  `json:"token"`   // fencing token, grows with each takeover
	// LastNode is the node that could give orders last; it stays when the
	// engine is released.
	LastNode string `json:"last-node,omitempty"`
	// SettleMs is how long the next owner must not give orders after the
	// release, because this one had taken the engine only shortly before.
	SettleMs int64    `json:"settle-ms,omitempty"`
	Stable   []string `json:"stable,omitempty"`
	// FormerOwners lists processes of earlier owners that may still send orders.
	FormerOwners []FormerOwner `json:"suspects,omitempty"`
}

// FormerOwner is an earlier owner that is not yet known to be harmless.
type FormerOwner struct {
	Node    string `json:"node"`
	Process string `json:"process"`
	Address string `json:"address"`
	Token   int64  `json:"token"`
}

// Key returns the key of the row.
func (o Owner) Key() string { return OwnerPrefix + o.Engine }

// Encode returns the row's value.
func (o Owner) Encode() []byte { return encode(o) }

// WithStableChange returns a copy in which out has left the stable list and in has
// entered it. An empty name changes nothing.
func (o Owner) WithStableChange(out, in string) Owner {
	stable := slices.DeleteFunc(slices.Clone(o.Stable), func(a string) bool { return a == out })
	if in != "" && !slices.Contains(stable, in) {
		stable = append(stable, in)
	}
	o.Stable = stable
	return o
}

// WithoutFormerOwner returns a copy without the given process.
func (o Owner) WithoutFormerOwner(process string) Owner {
	o.FormerOwners = slices.DeleteFunc(slices.Clone(o.FormerOwners), func(s FormerOwner) bool { return s.Process == process })
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
