package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
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
	target := sha256.New()
	for _, text := range []string{x.r.Method, x.r.Host, x.r.URL.EscapedPath()} {
		hashPart(target, []byte(text))
	}
	hashPart(target, x.body.Segments()...)
	copy(x.fp.Target[:], target.Sum(nil))
	copy(x.fp.Caller[:], hashParts([]byte(from)))
	return *x.fp
}

// hashParts hashes the parts with their lengths, so that their borders count.
func hashParts(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		hashPart(h, part)
	}
	return h.Sum(nil)
}

// hashPart hashes a part with its length, so that its borders count, but not those of its segments.
func hashPart(h hash.Hash, segments ...[]byte) {
	length := int64(0)
	for _, s := range segments {
		length += int64(len(s))
	}
	_ = binary.Write(h, binary.BigEndian, length) // a hash returns no error
	for _, s := range segments {
		h.Write(s)
	}
}
