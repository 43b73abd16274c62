// Package subset decides which backend servers an instance uses where there are too many
// for each instance to know all. Of the servers of its own availability zone it uses an even
// part, and of the others few, for when those near are lost. Which these are follows from
// names alone: they stay the same as servers and instances come and go, and whoever knows the
// shares knows the part. It does no I/O and reads no clock.
package subset

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Share is the part of a service's servers that an instance uses: of those in its own zone
// one in 2^Near, of the others one in 2^Far.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Near    uint8
	Far     uint8
}

// Subset is the part of all servers that one instance uses. A nil *Subset is all of them.
type Subset struct {
	zone   string
	seed   uint64
	shares []Share
}

// New returns the subset of an instance by its shares. Servers of other services are all in
// it.
func New(instance, zone string, shares []Share) *Subset {
	return &Subset{zone: zone, seed: xxhash.Sum64String(instance), shares: shares}
}

// Shares returns what the subset was made of; nil for all servers.
func (s *Subset) Shares() []Share {
	if s == nil {
		return nil
	}
	return s.shares
}

// Fingerprint tells subsets of one instance apart; 0 for all servers.
func (s *Subset) Fingerprint() uint64 {
	if s == nil {
		return 0
	}
	var digest xxhash.Digest
	digest.ResetWithSeed(s.seed)
	for _, share := range s.shares {
		digest.WriteString(share.Service)
		digest.Write([]byte{0, share.Near, share.Far})
	}
	return digest.Sum64() | 1
}

// Holds says whether a server is in the subset. It depends on the server's id, so a run that
// follows another is where that was.
func (s *Subset) Holds(id, service, zone string) bool {
	if s == nil {
		return true
	}
	share := s.find(service)
	if share == nil {
		return true
	}
	halvings := share.Far
	if zone == s.zone {
		halvings = share.Near
	}
	return halvings == 0 || s.weight(id)>>(64-halvings) == 0
}

func (s *Subset) find(service string) *Share {
	for i := range s.shares {
		if s.shares[i].Service == service {
			return &s.shares[i]
		}
	}
	return nil
}

// weight is a number that is even over servers for each instance, and over instances for
// each server.
func (s *Subset) weight(id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(s.seed)
	digest.WriteString(id)
	// Ids that differ in few bits must not be chosen together by all instances.
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, digest.Sum64()))
}
