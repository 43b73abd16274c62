// Package poison finds requests that crash the servers that execute them (poison
// requests, also called queries of death), and parts of prompts that do so in any request,
// from the requests that were running on each server when it crashed. It does no I/O and
// reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"slices"
	"time"
)

// Fingerprint identifies a request across retries, since each try by a caller has its
// own request id, or a part of prompts across the requests that share it. It is a truncated
// SHA-256, so that no caller can construct a request with the fingerprint of another caller's
// request. Its two lowest bits are its scope.
type Fingerprint uint64

const (
	scopeMask Fingerprint = 3
	// allCallers is the bit that marks a fingerprint which is the same for all callers.
	allCallers Fingerprint = 1
	// contentScope and partScope mark the content of a whole request, and a part of prompts.
	contentScope = allCallers
	partScope    = scopeMask
)

// ofAllCallers reports whether the fingerprint leaves out the caller.
func (f Fingerprint) ofAllCallers() bool { return f&allCallers != 0 }

// IsPart reports whether the fingerprint identifies a part of prompts.
func (f Fingerprint) IsPart() bool { return f&scopeMask == partScope }

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprints are the fingerprints of one request. Whether a request crashes servers may
// depend on its content alone, and its caller may use many addresses. It may also depend
// on the caller, and the same content may be harmless from others. Or it may depend on one
// part of its prompt, whatever else the request holds.
type Fingerprints struct {
	// OfCaller identifies the requests with this content of one caller, and Content
	// those of all callers.
	OfCaller, Content Fingerprint
	// Parts identifies the parts of the prompt that other requests may share.
	Parts []Fingerprint
}

// String returns the fingerprints of the whole request as they appear in logs.
func (f Fingerprints) String() string { return f.OfCaller.String() + " " + f.Content.String() }

// PartNames returns the fingerprints of the parts of the prompt as they appear in logs.
func (f Fingerprints) PartNames() []string {
	names := make([]string, 0, len(f.Parts))
	for _, part := range f.Parts {
		names = append(names, part.String())
	}
	return names
}

// whole returns the fingerprints of the whole request.
func (f Fingerprints) whole() []Fingerprint { return []Fingerprint{f.OfCaller, f.Content} }

// all returns all fingerprints.
func (f Fingerprints) all() []Fingerprint { return append(f.whole(), f.Parts...) }

// BrokenRun is the execution of a request on a server whose connection broke.
type BrokenRun struct {
	// Sent is when the request was sent. Writing is since when the server had been writing an answer; zero
	// if nothing of one had arrived.
	Sent, Writing time.Time
}

// unwritten is how long a server counts as having written for a request of which nothing had arrived. It
// is short enough for a crash to count, and long enough for servers that crash together to count once.
const unwritten = harmlessRun / 2

// partsFrom returns the start of the execution for the parts of the prompt, by the time of the break.
func (r BrokenRun) partsFrom(broken time.Time) time.Time {
	if !r.Writing.IsZero() {
		return r.Writing
	}
	if from := broken.Add(-unwritten); from.After(r.Sent) {
		return from
	}
	return r.Sent
}

// startTimes returns a map of all fingerprints to the time at which the execution
// started.
func (f Fingerprints) startTimes(run BrokenRun, broken time.Time) map[Fingerprint]time.Time {
	started := map[Fingerprint]time.Time{f.OfCaller: run.Sent, f.Content: run.Sent}
	for _, part := range f.Parts {
		started[part] = run.partsFrom(broken)
	}
	return started
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
	// SharedParts identifies the parts of the prompt that other requests may share.
	SharedParts []string
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
		Content:  truncate(content)&^scopeMask | contentScope,
		Parts:    Parts(i.SharedParts),
	}
}

// Parts returns the fingerprints of parts of prompts, each once.
func Parts(ids []string) []Fingerprint {
	var parts []Fingerprint
	for _, id := range ids {
		sum := sha256.New()
		writeLengthPrefixed(sum, id)
		if part := truncate(sum) | partScope; !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
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
