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
	"time"
)

// Fingerprint tells whether two requests are the same one, sent again: every attempt
// of a caller has an id of its own. It is the begin of a SHA-256, so that no caller
// can make a request that is taken for another one's.
type Fingerprint uint64

// allCallers marks the fingerprint that the same request has from whichever caller.
const allCallers Fingerprint = 1

// ofAll says whether the fingerprint leaves out who sent the request.
func (f Fingerprint) ofAll() bool { return f&allCallers != 0 }

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprints are those of one request. What a request does to servers may come of its
// content alone, and its caller may use many addresses; or of who sends it, and the same
// content may be harmless from others.
type Fingerprints struct {
	// OfCaller is that of the caller's requests of this content, and Content that of
	// all callers'.
	OfCaller, Content Fingerprint
}

// String returns the fingerprints as they stand in logs.
func (f Fingerprints) String() string { return f.OfCaller.String() + " " + f.Content.String() }

// each returns both.
func (f Fingerprints) each() []Fingerprint { return []Fingerprint{f.OfCaller, f.Content} }

// began returns both with when the request began.
func (f Fingerprints) began(at time.Time) map[Fingerprint]time.Time {
	return map[Fingerprint]time.Time{f.OfCaller: at, f.Content: at}
}

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

// Fingerprints returns the fingerprints of all requests with this identity.
func (i Identity) Fingerprints() Fingerprints {
	content := sha256.New()
	writePart(content, i.Method)
	writePart(content, i.Host)
	writePart(content, i.Target)
	content.Write(i.Body)
	caller := sha256.New()
	writePart(caller, i.Caller)
	caller.Write(content.Sum(nil))
	return Fingerprints{
		OfCaller: begin(caller) &^ allCallers,
		Content:  begin(content) | allCallers,
	}
}

func begin(sum hash.Hash) Fingerprint { return Fingerprint(binary.BigEndian.Uint64(sum.Sum(nil))) }

// writePart writes a part behind its length: else the end of one could pass for the
// begin of the next.
func writePart(sum hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	sum.Write(length[:])
	io.WriteString(sum, part)
}
