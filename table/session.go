package table

import (
	"encoding/json"
	"strconv"
)

// SessionPrefix is the key prefix of session rows.
const SessionPrefix = "session/"

// Session is the value of a node's session row.
type Session struct {
	Node       string `json:"node"`
	Process    string `json:"process"` // differs for every start of the daemon
	Epoch      int64  `json:"epoch"`   // increases when the process replaces a fenced session
	Counter    int64  `json:"counter"` // increases with each renewal
	Address    string `json:"address"` // IP address and port for peers
	Region     string `json:"region,omitempty"`
	DataCenter string `json:"data-center,omitempty"`
	Fenced     bool   `json:"fenced,omitempty"`     // another node ended the session to take over its engines
	Leaving    bool   `json:"leaving,omitempty"`    // the node is shutting down
	Generation int64  `json:"generation,omitempty"` // of the table, in which the row was written
	// Established is set if the session was in the table for so long before the row was written
	// that a copy of the table lists it, should the table be restored.
	Established bool `json:"established,omitempty"`
}

// Key returns the key of the row.
func (s Session) Key() string { return SessionPrefix + s.Node }

// ID identifies the session among all sessions of all nodes.
func (s Session) ID() string { return s.Process + "." + strconv.FormatInt(s.Epoch, 10) }

// Encode returns the row's value.
func (s Session) Encode() []byte { return encode(s) }

// DecodeSession decodes a session row.
func DecodeSession(row Row) (Session, error) {
	var s Session
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return Session{}, &Error{Op: "decode session", Kind: Malformed, Key: row.Key, Err: err}
	}
	return s, nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // rows hold only strings, numbers and booleans
	}
	return b
}
