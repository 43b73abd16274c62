// Package poison finds requests that crash the servers that run them (poison
// requests, also called queries of death), from what ran at each server when it
// ended. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
)

// Fingerprint tells whether two requests are the same one, sent again: every attempt
// of a caller has an id of its own. It is the begin of a SHA-256, so that no caller
// can make a request that is taken for another one's.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Identity is what two attempts of the same request have in common.
type Identity struct {
	// Caller is the address that the request came from, without the port.
	Caller string
	Method string
	Host   string
	// Target is path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of all requests with this identity.
func (i Identity) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{i.Caller, i.Method, i.Host, i.Target} {
		writeLength(sum, len(part))
		io.WriteString(sum, part)
	}
	sum.Write(i.Body)
	return Fingerprint(binary.BigEndian.Uint64(sum.Sum(nil)))
}

// writeLength keeps parts apart: without it, the end of one could pass for the begin of
// the next.
func writeLength(sum hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	sum.Write(encoded[:])
}
