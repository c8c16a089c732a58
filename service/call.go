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
	Attempt     string // ID of the attempt, unique across nodes
	Method      string
	Path        string // with the query string, if any
	ContentType string
	Body        []byte
}

// hash returns a digest of the call, with which the ledger detects an idempotency key
// that is reused for a different call.
func (c Call) hash() string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of the call's ledger row. It hashes the idempotency key, which
// may hold any bytes.
func (c Call) rowKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return "call/" + c.Caller + "/" + hex.EncodeToString(sum[:])
}

// Response is the response of a plain service.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Replayed is set if the response was recorded by an earlier attempt.
	Replayed bool `json:"-"`
}
