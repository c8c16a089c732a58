package table

import "encoding/json"

// witnessPrefix is the key prefix of witness rows.
const witnessPrefix = "witness/"

// Witness is a session that a node asks for consent to extend its lease while the table
// cannot be reached.
type Witness struct {
	Session string `json:"session"` // see [Session.ID]
	Address string `json:"address"` // IP address and port for peers
}

// Witnesses is the value of a node's witness row. It is written in the same transaction
// as the session row, and only when it changes.
type Witnesses struct {
	Node    string    `json:"node"`
	Session string    `json:"of"` // the session whose witnesses they are
	List    []Witness `json:"witnesses"`
}

// WitnessKey returns the key of a node's witness row.
func WitnessKey(node string) string { return witnessPrefix + node }

// Encode returns the row's value.
func (w Witnesses) Encode() []byte { return encode(w) }

// DecodeWitnesses decodes a witness row.
func DecodeWitnesses(row Row) (Witnesses, error) {
	var w Witnesses
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Witnesses{}, &Error{Op: "decode witnesses", Kind: Malformed, Key: row.Key, Err: err}
	}
	return w, nil
}
