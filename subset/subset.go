// Package subset decides which backend servers an instance uses if there are too many
// for each instance to know all of them. A subset holds an even share of the servers in
// the instance's own availability zone, and a few of the servers in other zones in case
// those nearby are lost. It follows from names alone: it stays the same as servers and
// instances come and go, and anyone who knows its shares can compute it. The package
// does no I/O and reads no clock.
package subset

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Share is the fraction of a service's servers that an instance uses: one in 2^Near of
// those in its own zone, and one in 2^Far of those in other zones.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Near    uint8
	Far     uint8
}

// Subset is the set of servers that one instance uses. A nil *Subset holds all servers.
type Subset struct {
	zone   string
	seed   uint64
	shares []Share
}

// New returns the subset of an instance with the given shares. It holds all servers of
// services without a share.
func New(instance, zone string, shares []Share) *Subset {
	return &Subset{zone: zone, seed: xxhash.Sum64String(instance), shares: shares}
}

// Shares returns the shares that the subset was made from, or nil for all servers.
func (s *Subset) Shares() []Share {
	if s == nil {
		return nil
	}
	return s.shares
}

// Fingerprint distinguishes the subsets of one instance. It is 0 for the nil subset, which
// holds all servers.
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

// Contains reports whether a server is in the subset. The result depends on the server's
// id, so it stays the same when the server's process is restarted.
func (s *Subset) Contains(id, service, zone string) bool {
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
	return halvings == 0 || s.hash(id)>>(64-halvings) == 0
}

func (s *Subset) find(service string) *Share {
	for i := range s.shares {
		if s.shares[i].Service == service {
			return &s.shares[i]
		}
	}
	return nil
}

// hash returns a number that is uniformly distributed over the servers for each
// instance, and over the instances for each server.
func (s *Subset) hash(id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(s.seed)
	digest.WriteString(id)
	// The second hash keeps ids that differ in few bits from being selected together by
	// all instances.
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, digest.Sum64()))
}
