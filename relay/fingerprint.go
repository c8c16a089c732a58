package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"net"

	"github.com/vanilladrift/vanilladrift/backend"
)

// fingerprint identifies the request by what all attempts of its caller have in common: the
// method, the host, the path without the query, the body, which must have been read, and the
// caller.
func (x *exchange) fingerprint() backend.Fingerprint {
	if x.fp != nil {
		return *x.fp
	}
	from := x.head.Caller
	if x.account != nil {
		from = x.account.Name
	}
	if from == "" {
		from, _, _ = net.SplitHostPort(x.r.RemoteAddr) // empty for a connection without addresses
	}
	x.fp = new(backend.Fingerprint)
	copy(x.fp.Target[:], hashParts([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.URL.EscapedPath()), x.body))
	copy(x.fp.Caller[:], hashParts([]byte(from)))
	return *x.fp
}

// hashParts hashes the parts with their lengths, so that their borders count.
func hashParts(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, int64(len(part))) // a hash returns no error
		h.Write(part)
	}
	return h.Sum(nil)
}
