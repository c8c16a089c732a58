package service

import (
	"crypto/sha256"
	"encoding/hex"
)

// Call is one call of a plain service.
type Call struct {
	Service     string
	Caller      string
	Key         string // idempotency key; empty means that the caller gave none
	Attempt     string // differs for every attempt, on whatever node
	Method      string
	Path        string // with the query, if any
	ContentType string // content type of the body
	Body        []byte
}

// hash identifies what the call asks for, so that a key cannot be used for two
// different calls.
func (c Call) hash() string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey hashes the idempotency key, which may hold any bytes.
func (c Call) rowKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return "call/" + c.Caller + "/" + hex.EncodeToString(sum[:])
}

// Response is the answer of a plain service.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"` // content type
	Body        []byte `json:"body,omitempty"`
	// Replayed is set when the answer was recorded by an earlier attempt.
	Replayed bool `json:"-"`
}
