package backend

import "encoding/hex"

// Fingerprint identifies a request by what all attempts of its caller have in common.
type Fingerprint struct {
	Target Target
	Caller CallerHash // the zero value means all callers
}

// Target identifies what a request asks for, whoever sends it.
type Target [16]byte

// CallerHash identifies the caller of a request.
type CallerHash [8]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	s := hex.EncodeToString(f.Target[:])
	if f.Caller == (CallerHash{}) {
		return s
	}
	return s + "/" + hex.EncodeToString(f.Caller[:])
}

// ofAll returns the fingerprint of the same request of all callers.
func (f Fingerprint) ofAll() Fingerprint { return Fingerprint{Target: f.Target} }
