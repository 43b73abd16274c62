// Package poison finds requests that crash the servers that execute them (poison
// requests, also called queries of death), from the requests that were running on each
// server when it crashed. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"time"
)

// Fingerprint identifies a request across retries, since each try by a caller has its
// own request id. It is a truncated SHA-256, so that no caller can construct a request
// with the fingerprint of another caller's request.
type Fingerprint uint64

// allCallers is the bit that marks a fingerprint of a request's content, which is the
// same for all callers.
const allCallers Fingerprint = 1

// ofAllCallers reports whether the fingerprint leaves out the caller.
func (f Fingerprint) ofAllCallers() bool { return f&allCallers != 0 }

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprints are the two fingerprints of one request. Whether a request crashes
// servers may depend on its content alone, and its caller may use many addresses. It
// may also depend on the caller, and the same content may be harmless from others.
type Fingerprints struct {
	// OfCaller identifies the requests with this content of one caller, and Content
	// those of all callers.
	OfCaller, Content Fingerprint
}

// String returns both fingerprints as they appear in logs.
func (f Fingerprints) String() string { return f.OfCaller.String() + " " + f.Content.String() }

// both returns both fingerprints.
func (f Fingerprints) both() []Fingerprint { return []Fingerprint{f.OfCaller, f.Content} }

// startTimes returns a map of both fingerprints to the time at which the request
// started.
func (f Fingerprints) startTimes(at time.Time) map[Fingerprint]time.Time {
	return map[Fingerprint]time.Time{f.OfCaller: at, f.Content: at}
}

// Identity holds what all of a caller's tries of the same request have in common.
type Identity struct {
	// Caller is the address that the request came from, without the port.
	Caller string
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprints returns the fingerprints of all requests with this identity.
func (i Identity) Fingerprints() Fingerprints {
	content := sha256.New()
	writeLengthPrefixed(content, i.Method)
	writeLengthPrefixed(content, i.Host)
	writeLengthPrefixed(content, i.Target)
	content.Write(i.Body)
	caller := sha256.New()
	writeLengthPrefixed(caller, i.Caller)
	caller.Write(content.Sum(nil))
	return Fingerprints{
		OfCaller: truncate(caller) &^ allCallers,
		Content:  truncate(content) | allCallers,
	}
}

func truncate(sum hash.Hash) Fingerprint { return Fingerprint(binary.BigEndian.Uint64(sum.Sum(nil))) }

// writeLengthPrefixed writes the length of part before part itself. Without the length,
// the end of one part could be mistaken for the start of the next.
func writeLengthPrefixed(sum hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	sum.Write(length[:])
	io.WriteString(sum, part)
}
